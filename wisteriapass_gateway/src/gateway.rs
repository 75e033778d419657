//! What the services of one router share.

use std::collections::HashMap;
use std::future::Future;

use tokio::sync::watch;
use tokio::time::sleep_until;
use wisteriapass_policy::cold_start::{SendQuota, is_owner};
use wisteriapass_policy::drain::Drain;
use wisteriapass_policy::placement::hash_name;
use wisteriapass_policy::{LatencyHistory, PlannedRequest, Time};

use crate::catalogue::{Catalogue, CatalogueChange, ColdStart};
use crate::change_log::{ConfigurationLog, Cursor, TargetLog};
use crate::evacuations::Evacuations;
use crate::ledger::TokenLedger;
use crate::metrics::Metrics;
use crate::platform::{Platform, RevisedChange, Topic};
use crate::prelude::*;
use crate::quarantine::{Probes, SharedQuarantine};
use crate::retry_budget::RetryBudget;
use crate::rpc::RpcClient;
use crate::settings::GatewaySettings;
use crate::store_liveness::StoreLiveness;
use crate::target::{Target, TargetKey};
use crate::targets::Targets;

/// Which connections of callers have to close, once nothing is under way on them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShutdownPhase {
    /// None.
    Running,
    /// Those that were there before the stop.
    CloseExisting,
    /// All, and no more are taken.
    CloseAll,
    /// All, and what is under way on them is given up.
    Abort,
}

/// Why a wait ended without what was waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitError {
    /// Its deadline passed.
    Deadline,
    /// This router ends.
    Stopping,
}

/// One router.
pub struct Gateway {
    /// Settings.
    pub settings: GatewaySettings,
    /// Edge to the platform.
    pub platform: Rc<dyn Platform>,
    pub(crate) clock: Clock,
    pub(crate) rpc: Rc<RpcClient>,
    pub(crate) ledger: Rc<TokenLedger>,
    pub(crate) targets: RefCell<Targets>,
    pub(crate) store_liveness: StoreLiveness,
    pub(crate) metrics: Metrics,
    pub(crate) probes: Probes,
    /// Requests that crash targets.
    pub(crate) quarantine: SharedQuarantine,
    /// How this router ends, once it is told to stop.
    pub(crate) drain: Cell<Option<Drain>>,
    /// When a connection was taken last.
    pub(crate) last_accepted_at: Cell<Time>,
    /// How long requests take of late, by service.
    service_times: RefCell<HashMap<String, LatencyHistory>>,
    /// Which connections have to close.
    pub(crate) shutdown_phase: watch::Sender<ShutdownPhase>,
    /// The configurations of late.
    pub(crate) configuration_log: RefCell<ConfigurationLog>,
    /// The targets' entries and when each changed.
    pub(crate) target_log: RefCell<TargetLog>,
    /// The failure domains that are evacuated.
    pub(crate) evacuations: RefCell<Evacuations>,
    catalogue: RefCell<Option<Rc<Catalogue>>>,
    retry_budgets: RefCell<HashMap<String, RetryBudget>>,
    targets_known: Cell<bool>,
}

impl Gateway {
    /// Creates a router that knows no configuration and no targets.
    pub fn new(settings: GatewaySettings, platform: Rc<dyn Platform>, metrics: Metrics) -> Self {
        let clock = Clock::new();
        let caller = Rc::new(RpcClient::new(clock));
        let ledger = Rc::new(TokenLedger::new(clock, &settings, caller.clone()));
        Self {
            settings,
            platform,
            clock,
            rpc: caller,
            ledger,
            targets: RefCell::default(),
            store_liveness: StoreLiveness::default(),
            metrics,
            probes: Probes::default(),
            quarantine: SharedQuarantine::new(clock),
            drain: Cell::new(None),
            last_accepted_at: Cell::default(),
            service_times: RefCell::default(),
            shutdown_phase: watch::Sender::new(ShutdownPhase::Running),
            configuration_log: RefCell::default(),
            target_log: RefCell::default(),
            evacuations: RefCell::default(),
            catalogue: RefCell::default(),
            retry_budgets: RefCell::default(),
            targets_known: Cell::new(false),
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
        self.ledger.set_totals(&next);
        self.configuration_log.borrow_mut().push(next.clone());
        *self.catalogue.borrow_mut() = Some(next);
    }

    /// Puts the configuration in force that a change leads to, if it changes the one that is.
    pub(crate) fn apply_catalogue_change(&self, change: &CatalogueChange) {
        let whole = || Catalogue::default().with_change(change);
        let next = self.catalogue().and_then(|now| now.with_change(change));
        if let Some(next) = next.or_else(whole) {
            self.set_catalogue(Rc::new(next));
        }
    }

    /// Returns up to where a topic is known.
    pub(crate) fn cursor(&self, topic: Topic) -> Cursor {
        match topic {
            Topic::Configuration => self.configuration_log.borrow().cursor(),
            Topic::Targets => self.target_log.borrow().cursor(),
        }
    }

    /// Takes changes of targets in, and up to where they lead; `is_whole` if no other entry is
    /// there.
    pub(crate) fn apply_target_changes(
        &self,
        cursor: Cursor,
        changes: &[RevisedChange],
        is_whole: bool,
    ) {
        let now = Instant::now();
        let recovered_at = self.store_liveness.recovered_at();
        let mut log = self.target_log.borrow_mut();
        log.apply(cursor, changes, is_whole);
        let mut targets = self.targets.borrow_mut();
        if is_whole {
            targets.replace_all(changes.iter().map(|c| &c.change), now, recovered_at);
            self.targets_known.set(true);
        } else {
            for revised in changes {
                targets.apply(&revised.change, now, recovered_at);
            }
        }
        targets.sweep(now);
    }

    /// Takes over which failure domains are evacuated, unless what is known is later.
    pub(crate) fn set_evacuations(&self, next: Evacuations) {
        let mut known = self.evacuations.borrow_mut();
        if !next.is_newer_than(&known) {
            return;
        }
        let (before, after) = (known.domains(), next.domains());
        for domain in after.difference(before) {
            self.metrics.count_evacuation();
            log::warn!(target: "targets", "Failure domain evacuated. domain={domain}");
        }
        for domain in before.difference(after) {
            log::info!(target: "targets", "Failure domain back. domain={domain}");
        }
        let mut targets = self.targets.borrow_mut();
        targets.set_evacuated(after, Instant::now());
        *known = next;
    }

    /// Returns whether a target bears one more request of this router now; one that is cold has few
    /// routers that send to it.
    pub(crate) fn within_cold_limit(
        &self,
        target: &Target,
        cold: Option<ColdStart>,
        now: Instant,
    ) -> bool {
        let Some(cold) = cold.filter(|cold| target.is_cold(cold.start_ms, now)) else {
            return true;
        };
        let bounds = &self.settings.bounds;
        let per_s = cold.per_1000_s as f64 / 1_000.0;
        let most_per_s = per_s * bounds.cold_overshoot + bounds.cold_slack;
        let relays = self.ledger.relay_hashes();
        let ration = SendQuota::new(most_per_s, relays.len());
        let me = hash_name(&self.settings.name);
        let target_hash = hash_name(&target.entry.id.0);
        let may_send = target
            .send_log
            .borrow()
            .may_send(self.time(), ration.per_owner);
        may_send && is_owner(target_hash, me, &relays, ration.owners)
    }

    /// Returns whether a request may go to a target now.
    pub(crate) fn may_send(&self, key: TargetKey, cold: Option<ColdStart>) -> bool {
        let now = Instant::now();
        let targets = self.targets.borrow();
        let target = targets.get(key);
        target.is_some_and(|t| {
            targets.accepts_requests(t, now) && self.within_cold_limit(t, cold, now)
        })
    }

    /// Returns whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        let knows_all = self.targets_known.get() && self.catalogue.borrow().is_some();
        knows_all && !self.is_stopping() && !self.is_overloaded()
    }

    /// Returns whether more comes than this router carries.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.rpc.backlog().is_overloaded(self.time())
    }

    /// Returns how long what comes has waited on its way, as far as is known.
    pub(crate) fn queueing_delay(&self) -> Duration {
        Duration::from_millis(self.rpc.backlog().queueing_delay_ms(self.time()))
    }

    /// Returns whether this router was told to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.drain.get().is_some()
    }

    /// Waits for something until a deadline, or until this router gives up what is under way.
    pub(crate) async fn run_until<T>(
        &self,
        deadline: Instant,
        work: impl Future<Output = T>,
    ) -> Result<T, WaitError> {
        let mut phase = self.shutdown_phase.subscribe();
        tokio::select! {
            biased;
            done = work => Ok(done),
            () = sleep_until(deadline) => Err(WaitError::Deadline),
            () = wait_for_phase(&mut phase, ShutdownPhase::Abort) => Err(WaitError::Stopping),
        }
    }

    /// Waits for something, unless this router gives up what is under way before.
    pub(crate) async fn run_unless_aborted<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let mut phase = self.shutdown_phase.subscribe();
        tokio::select! {
            biased;
            done = work => Some(done),
            () = wait_for_phase(&mut phase, ShutdownPhase::Abort) => None,
        }
    }

    /// Returns whether targets were told to end what they do for this router by now.
    pub(crate) fn targets_stopped(&self) -> bool {
        let now = self.time();
        self.drain
            .get()
            .is_some_and(|drain| drain.target_time_left_ms(now) == 0)
    }

    /// Learns how long a service's request took at a target.
    pub(crate) fn record_times(
        &self,
        service: &str,
        target: TargetKey,
        learn: impl Fn(&mut LatencyHistory, Time),
    ) {
        let now = self.time();
        if let Some(target) = self.targets.borrow().get(target) {
            learn(&mut target.service_times.borrow_mut(), now);
        }
        let mut times = self.service_times.borrow_mut();
        match times.get_mut(service) {
            Some(known) => learn(known, now),
            None => learn(times.entry(service.to_owned()).or_default(), now),
        }
    }

    /// Returns how long a request of a route may take at a target, in milliseconds, whose output
    /// has `most` tokens at the most.
    pub(crate) fn expected_ms(&self, target: &Target, route: &Route, most: u64) -> u64 {
        let times = self.service_times.borrow();
        let unseen = LatencyHistory::default();
        let all = times.get(&target.entry.service).unwrap_or(&unseen);
        let here = target.service_times.borrow();
        let work = PlannedRequest {
            latency_goal_ms: route.target_latency_ms,
            max_output_tokens: most,
            in_flight: target.running.get(),
            silent_ms: target.silent_ms(),
        };
        here.expected_ms(all, self.time(), work)
    }

    /// Returns the silence from which on a target of a service is suspect to requests of a route, in
    /// milliseconds.
    pub(crate) fn silence_ms(&self, service: &str, route: &Route) -> u64 {
        let times = self.service_times.borrow();
        let unseen = LatencyHistory::default();
        let all = times.get(service).unwrap_or(&unseen);
        all.silence_threshold_ms(route.target_latency_ms) + self.queueing_delay().as_millis() as u64
    }

    /// Returns the time as decisions count it.
    pub(crate) fn time(&self) -> Time {
        Time::from_millis(self.clock.now_ms())
    }

    /// Counts a request towards the repeats of its service.
    pub(crate) fn credit_retry(&self, service: &str) {
        let routers = self.ledger.router_count();
        let mut retries = self.retry_budgets.borrow_mut();
        match retries.get_mut(service) {
            Some(bucket) => bucket.record_request(routers),
            None => {
                let bucket = RetryBudget::new(&self.settings.bounds, Instant::now());
                retries.insert(service.to_owned(), bucket);
            }
        }
    }

    /// Takes one repeat of a service, if there is one.
    pub(crate) fn take_retry(&self, service: &str) -> bool {
        let routers = self.ledger.router_count();
        let mut retries = self.retry_budgets.borrow_mut();
        let bucket = retries.get_mut(service);
        bucket.is_some_and(|b| b.try_take(Instant::now(), routers))
    }
}

/// Waits until connections of a kind have to close.
///
/// The state is not held borrowed behind that: who changes it next would wait for ever.
pub(crate) async fn wait_for_phase(phase: &mut watch::Receiver<ShutdownPhase>, at: ShutdownPhase) {
    // An error is the end of the router.
    let _ = phase.wait_for(|phase| *phase >= at).await;
}

impl std::fmt::Debug for Gateway {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Gateway").finish_non_exhaustive()
    }
}
