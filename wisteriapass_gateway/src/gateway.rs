//! What the services of one router share.

use std::collections::HashMap;

use tokio::sync::watch;
use wisteriapass_policy::drain::Drain;
use wisteriapass_policy::{OutputSpeed, Time};

use crate::bank::Bank;
use crate::catalogue::Catalogue;
use crate::metrics::Metrics;
use crate::platform::Platform;
use crate::prelude::*;
use crate::retries::Retries;
use crate::settings::GatewaySettings;
use crate::targets::Targets;
use crate::touch::Touch;

/// Which connections of callers have to close, once nothing is under way on them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Closing {
    /// None.
    None,
    /// Those that were there before the stop.
    Kept,
    /// All, and no more are taken.
    All,
}

/// One router.
pub struct Gateway {
    /// Settings.
    pub settings: GatewaySettings,
    /// Edge to the platform.
    pub platform: Rc<dyn Platform>,
    pub(crate) clock: Clock,
    pub(crate) bank: Rc<Bank>,
    pub(crate) targets: RefCell<Targets>,
    pub(crate) touch: Touch,
    pub(crate) metrics: Metrics,
    /// How this router ends, once it is told to stop.
    pub(crate) drain: Cell<Option<Drain>>,
    /// When a connection was taken last.
    pub(crate) taken_at: Cell<Time>,
    /// How long output takes of late.
    pub(crate) speed: RefCell<OutputSpeed>,
    /// Which connections have to close.
    pub(crate) closing: watch::Sender<Closing>,
    catalogue: RefCell<Option<Rc<Catalogue>>>,
    retries: RefCell<HashMap<String, Retries>>,
    knows_targets: Cell<bool>,
}

impl Gateway {
    /// Creates a router that knows no configuration and no targets.
    pub fn new(settings: GatewaySettings, platform: Rc<dyn Platform>, metrics: Metrics) -> Self {
        let clock = Clock::new();
        let bank = Rc::new(Bank::new(clock, &settings.name, settings.lending));
        Self {
            settings,
            platform,
            clock,
            bank,
            targets: RefCell::default(),
            touch: Touch::default(),
            metrics,
            drain: Cell::new(None),
            taken_at: Cell::default(),
            speed: RefCell::default(),
            closing: watch::Sender::new(Closing::None),
            catalogue: RefCell::default(),
            retries: RefCell::default(),
            knows_targets: Cell::new(false),
        }
    }

    /// Returns the configuration in force.
    pub fn catalogue(&self) -> Option<Rc<Catalogue>> {
        self.catalogue.borrow().clone()
    }

    /// Puts a configuration in force, unless a newer one is.
    pub fn set_catalogue(&self, next: Rc<Catalogue>) {
        let now = self.catalogue.borrow().as_ref().map_or(0, |c| c.version);
        if next.version <= now {
            return;
        }
        log::info!(
            target: "config",
            "Configuration in force. version={} routes={}",
            next.version,
            next.routes_len()
        );
        self.bank.set_totals(&next);
        *self.catalogue.borrow_mut() = Some(next);
    }

    /// Notes that the targets were read once.
    pub(crate) fn set_knows_targets(&self) {
        self.knows_targets.set(true);
    }

    /// Returns whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.knows_targets.get() && self.catalogue.borrow().is_some()
    }

    /// Returns whether this router was told to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.drain.get().is_some()
    }

    /// Returns the time as decisions count it.
    pub(crate) fn time(&self) -> Time {
        Time::from_millis(self.clock.now_ms())
    }

    /// Counts a request towards the repeats of its service.
    pub(crate) fn earn_retry(&self, service: &str) {
        let routers = self.bank.routers();
        let mut retries = self.retries.borrow_mut();
        match retries.get_mut(service) {
            Some(bucket) => bucket.earn(routers),
            None => {
                let bucket = Retries::new(&self.settings.bounds, Instant::now());
                retries.insert(service.to_owned(), bucket);
            }
        }
    }

    /// Takes one repeat of a service, if there is one.
    pub(crate) fn take_retry(&self, service: &str) -> bool {
        let routers = self.bank.routers();
        let mut retries = self.retries.borrow_mut();
        let bucket = retries.get_mut(service);
        bucket.is_some_and(|b| b.take(Instant::now(), routers))
    }
}

impl std::fmt::Debug for Gateway {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Gateway").finish_non_exhaustive()
    }
}
