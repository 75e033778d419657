//! Services and threads of a router.

use std::thread::sleep;

use flume::{Receiver, RecvTimeoutError};
use twox_hash::XxHash64;
use wisteriapass_config::{Document, Settings};
use wisteriapass_coord::budget::Origin;
use wisteriapass_coord::store::HttpStore;

use super::{LOOK_MS, Result, spawn};
use crate::fleet::{Fleet, InForce};
use crate::prelude::*;
use crate::router::{Incarnations, Locator, Money, Peers, RouterIdentity, Scheduling, Unsettled};
use crate::shutdown::Shutdown;

/// Longest wait of a stopping router for bills that need a claim, in milliseconds.
const SETTLE_MS: u64 = 5_000;

/// Time between two looks at which targets are leaving, in milliseconds.
const LEAVING_MS: u64 = 100;

/// Registers the services of a router and starts their threads.
pub(super) fn register(settings: &Settings, kernel: &Kernel, incarnation: &str) -> Result<()> {
    let store = HttpStore::new(settings.store.to_string());
    let peers = Peers::new(&settings.name, kernel.find()?, kernel.find()?);
    let origin = Origin(XxHash64::oneshot(0, incarnation.as_bytes()));
    let money = kernel.register(Money::new(origin, Box::new(store), peers));
    let stop = kernel.find::<Shutdown>()?;
    let registered = money.clone();
    spawn("money", {
        let stop = stop.clone();
        move || money.keep(&stop)
    })?;
    spawn("lease", move || registered.stay_registered(&stop))?;
    let scheduling = kernel.register(Scheduling::new(settings.policy.clone()));
    scheduling.start()?;
    kernel.register(RouterIdentity {
        name: settings.name.clone(),
        incarnation: incarnation.into(),
        failure_domain: settings.failure_domain.clone(),
    });
    kernel.register(Incarnations::new(kernel)?);
    let claims = HttpStore::new(settings.store.to_string());
    kernel.register(Locator::new(kernel, Box::new(claims))?);
    let unsettled = kernel.register(Unsettled::new(kernel)?);
    spawn("unsettled", move || unsettled.ask_forever())?;
    let documents = kernel.find::<InForce>()?.follow();
    let fleet = kernel.find::<Fleet>()?;
    spawn("loads", {
        let (fleet, scheduling) = (fleet.clone(), scheduling.clone());
        move || {
            for heard in fleet.loads() {
                scheduling.hear_load(&heard);
            }
        }
    })?;
    let failure_domain = settings.failure_domain.clone();
    spawn("targets", move || {
        keep_targets(&documents, &fleet, &scheduling, &failure_domain);
    })?;
    Ok(())
}

/// Waits until the configuration in force is known; without it every caller would be refused.
pub(super) fn wait_until_ready(kernel: &Kernel) -> Result<()> {
    let (config, stop) = (kernel.find::<InForce>()?, kernel.find::<Shutdown>()?);
    while !config.is_ready() && !stop.is_requested() {
        sleep(Duration::from_millis(LOOK_MS));
    }
    Ok(())
}

/// Keeps the scheduler's targets in step with the configuration and with who is leaving.
fn keep_targets(
    documents: &Receiver<Arc<Document>>,
    fleet: &Fleet,
    scheduling: &Scheduling,
    failure_domain: &str,
) {
    let mut document = Arc::new(Document::default());
    let mut leaving = Vec::new();
    loop {
        let news = match documents.recv_timeout(Duration::from_millis(LEAVING_MS)) {
            Ok(news) => Some(news),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let is_news = news.is_some();
        document = news.unwrap_or(document);
        fleet.plan();
        let now_leaving = fleet.without_work(&document, Instant::now());
        if is_news || now_leaving != leaving {
            log::info!(target: "fleet", "Targets without new work. names={now_leaving:?}");
            scheduling.set_document(&document, failure_domain, &now_leaving);
            leaving = now_leaving;
        }
    }
}

/// Settles what can be settled, and returns the rest of the money.
pub(super) fn settle(kernel: &Kernel) -> Result<()> {
    let deadline = Instant::now() + Duration::from_millis(SETTLE_MS);
    kernel.find::<Unsettled>()?.settle_until(deadline);
    kernel.find::<Money>()?.leave();
    Ok(())
}
