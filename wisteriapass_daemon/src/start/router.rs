//! Services and threads of a router.

use std::thread::sleep;

use flume::{Receiver, RecvTimeoutError};
use twox_hash::XxHash64;
use wisteriapass_config::{Document, Settings};
use wisteriapass_coord::budget::Origin;
use wisteriapass_coord::store::HttpStore;

use super::{POLL_MS, Result, spawn};
use crate::fleet::{ConfigInForce, Fleet};
use crate::prelude::*;
use crate::router::{
    MoneyManager, Peers, RouterIdentity, RunLocator, SchedulerDriver, SideIncarnations,
    UnsettledReservations,
};
use crate::shutdown::Shutdown;

/// Longest time for which a stopping router waits for bills that need a claim, in milliseconds.
const SETTLE_TIMEOUT_MS: u64 = 5_000;

/// Interval between two checks which targets are leaving, in milliseconds.
const LEAVING_POLL_MS: u64 = 100;

/// Registers the services of a router and starts their threads.
pub(super) fn register(settings: &Settings, kernel: &Kernel, incarnation: &str) -> Result<()> {
    let store = HttpStore::new(settings.store.to_string());
    let peers = Peers::new(&settings.name, kernel.find()?, kernel.find()?);
    let origin = Origin(XxHash64::oneshot(0, incarnation.as_bytes()));
    let money = kernel.register(MoneyManager::new(origin, Box::new(store), peers));
    let shutdown = kernel.find::<Shutdown>()?;
    let lease_money = money.clone();
    spawn("money", {
        let shutdown = shutdown.clone();
        move || money.run_exchange_loop(&shutdown)
    })?;
    spawn("lease", move || lease_money.keep_registered(&shutdown))?;
    let scheduler = kernel.register(SchedulerDriver::new(settings.policy.clone()));
    scheduler.start()?;
    kernel.register(RouterIdentity {
        name: settings.name.clone(),
        incarnation: incarnation.into(),
        failure_domain: settings.failure_domain.clone(),
    });
    kernel.register(SideIncarnations::new(kernel)?);
    let claim_store = HttpStore::new(settings.store.to_string());
    kernel.register(RunLocator::new(kernel, Box::new(claim_store))?);
    let unsettled = kernel.register(UnsettledReservations::new(kernel)?);
    spawn("unsettled", move || unsettled.poll_forever())?;
    let documents = kernel.find::<ConfigInForce>()?.subscribe();
    let fleet = kernel.find::<Fleet>()?;
    spawn("loads", {
        let (fleet, scheduler) = (fleet.clone(), scheduler.clone());
        move || {
            for received in fleet.loads() {
                scheduler.record_load(&received);
            }
        }
    })?;
    let failure_domain = settings.failure_domain.clone();
    spawn("targets", move || {
        sync_targets(&documents, &fleet, &scheduler, &failure_domain);
    })?;
    Ok(())
}

/// Waits until the configuration in force is known; without it every request would be refused.
pub(super) fn wait_until_ready(kernel: &Kernel) -> Result<()> {
    let (config, shutdown) = (kernel.find::<ConfigInForce>()?, kernel.find::<Shutdown>()?);
    while !config.is_ready() && !shutdown.is_requested() {
        sleep(Duration::from_millis(POLL_MS));
    }
    Ok(())
}

/// Updates the scheduler whenever the configuration or the set of targets without new work changes.
fn sync_targets(
    documents: &Receiver<Arc<Document>>,
    fleet: &Fleet,
    scheduler: &SchedulerDriver,
    failure_domain: &str,
) {
    let mut document = Arc::new(Document::default());
    let mut previous = Vec::new();
    loop {
        let update = match documents.recv_timeout(Duration::from_millis(LEAVING_POLL_MS)) {
            Ok(update) => Some(update),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let is_new = update.is_some();
        document = update.unwrap_or(document);
        fleet.apply_config();
        let without_new_work = fleet.targets_without_new_work(&document, Instant::now());
        if is_new || without_new_work != previous {
            log::info!(
                target: "fleet",
                "Targets without new work changed. names={without_new_work:?}"
            );
            scheduler.set_document(&document, failure_domain, &without_new_work);
            previous = without_new_work;
        }
    }
}

/// Settles the bills that can be settled in time, and returns unspent money to the store.
pub(super) fn settle_money(kernel: &Kernel) -> Result<()> {
    let deadline = Instant::now() + Duration::from_millis(SETTLE_TIMEOUT_MS);
    kernel
        .find::<UnsettledReservations>()?
        .settle_until(deadline);
    kernel.find::<MoneyManager>()?.return_all();
    Ok(())
}
