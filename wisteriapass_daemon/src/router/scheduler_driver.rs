//! Driver of the policy's scheduler: provides the clock, the polling thread and the wake-ups.

use std::collections::HashMap;
use std::thread::Builder;

use flume::{Receiver, Sender};
use parking_lot::Mutex;
use wisteriapass_config::{Document, Target};
use wisteriapass_coord::membership::Incarnation;
use wisteriapass_policy::{
    AccountInfo, Decision, HostedResource, LoadReport, Locality, PolicyConfig, RequestInfo,
    RequiredResource, Scheduler, TargetInfo, TargetRole, Ticket, Time,
};

use crate::fleet::ReceivedLoad;
use crate::prelude::*;
use crate::router::scheduled_request::ScheduledRequest;

/// Maximum interval between two polls, in milliseconds.
const MAX_POLL_INTERVAL_MS: u64 = 50;

/// Channel of the scheduler's decisions about one request.
pub(super) type DecisionReceiver = Receiver<Decision>;

/// Runs the scheduler, which decides when and where requests run.
pub struct SchedulerDriver {
    started: Instant,
    scheduler: Mutex<Scheduler>,
    waiters: Mutex<HashMap<Ticket, Sender<Decision>>>,
    /// Last known incarnation of each target's side process.
    incarnations: Mutex<HashMap<String, Incarnation>>,
    wake_tx: Sender<()>,
    wake_rx: Receiver<()>,
}

impl Service for SchedulerDriver {
    const NAME: &'static str = "scheduling";
}

impl SchedulerDriver {
    /// Creates a scheduler without targets.
    ///
    /// Hedging is always switched off, because the pipeline follows one run at a time.
    pub fn new(mut cfg: PolicyConfig) -> Self {
        cfg.parts.hedging = false;
        let (wake_tx, wake_rx) = flume::bounded(1);
        Self {
            started: Instant::now(),
            scheduler: Mutex::new(Scheduler::new(cfg)),
            waiters: Mutex::default(),
            incarnations: Mutex::default(),
            wake_tx,
            wake_rx,
        }
    }

    /// Converts an instant to scheduler time.
    pub fn time_of(&self, at: Instant) -> Time {
        let since = at.saturating_duration_since(self.started);
        Time(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
    }

    /// Returns the current scheduler time.
    pub fn now(&self) -> Time {
        self.time_of(Instant::now())
    }

    /// Returns the time left until a scheduler time, in milliseconds.
    pub fn millis_until(&self, at: Time) -> u64 {
        at.0.saturating_sub(self.now().0) / 1_000
    }

    /// Applies the targets and accounts of a configuration; the targets named in
    /// `without_new_work` count as leaving too.
    pub fn set_document(
        &self,
        document: &Document,
        failure_domain: &str,
        without_new_work: &[String],
    ) {
        let region = region_of(document, failure_domain);
        let targets: Vec<TargetInfo> = document
            .inventory
            .target
            .iter()
            .map(|t| {
                let mut info = target_info(
                    t,
                    document.inventory.is_draining(t),
                    locality(document, t, failure_domain, &region),
                );
                info.leaving |= without_new_work.contains(&t.name);
                info
            })
            .collect();
        let accounts: Vec<AccountInfo> = document
            .rules
            .account
            .iter()
            .map(|a| AccountInfo {
                name: a.name.clone(),
                weight: a.weight,
            })
            .collect();
        {
            let mut scheduler = self.scheduler.lock();
            scheduler.set_targets(self.now(), &targets);
            scheduler.set_accounts(&accounts);
            scheduler.set_routers(document.inventory.router.len());
        }
        self.wake_poller();
    }

    /// Records a load report from a target's side process.
    pub fn record_load(&self, received: &ReceivedLoad) {
        let report = LoadReport {
            taken_at: self.time_of(received.measured_at),
            running: received.load.running,
            queued: received.load.queued,
            interactive: received.load.interactive,
            of_receiver: received.load.of_receiver,
        };
        let is_restarted = self.is_restarted(received);
        self.with_scheduler(|s, now| {
            let Some(target) = s.target_key(&received.target) else {
                return;
            };
            if is_restarted {
                s.target_restarted(now, target);
            }
            s.record_load_report(now, target, report);
        });
    }

    /// Returns whether the report is the first from a newer incarnation of the side process.
    fn is_restarted(&self, received: &ReceivedLoad) -> bool {
        let mut incarnations = self.incarnations.lock();
        let before = incarnations.insert(received.target.clone(), received.incarnation);
        let is_restarted = before.is_some_and(|before| before < received.incarnation);
        if is_restarted {
            log::info!(
                target: "fleet",
                "Side process of a target restarted. name={}",
                received.target
            );
        }
        is_restarted
    }

    /// Calls a function with the scheduler, then wakes the poller.
    pub fn with_scheduler<T>(&self, work: impl FnOnce(&mut Scheduler, Time) -> T) -> T {
        let now = self.now();
        let result = work(&mut self.scheduler.lock(), now);
        self.wake_poller();
        result
    }

    /// Submits a request; the returned handle tells when and where it runs.
    pub fn offer(self: &Arc<Self>, info: RequestInfo) -> ScheduledRequest {
        let (tx, rx) = flume::unbounded();
        let now = self.now();
        let (ticket, first) = {
            let mut scheduler = self.scheduler.lock();
            let (ticket, first) = scheduler.offer(now, info);
            // Registered under the scheduler's lock so that no decision of a poll is missed.
            self.waiters.lock().insert(ticket, tx);
            (ticket, first)
        };
        self.wake_poller();
        ScheduledRequest::new(self.clone(), ticket, first, rx)
    }

    /// Removes the channel of a ticket.
    pub(super) fn remove_waiter(&self, ticket: Ticket) {
        self.waiters.lock().remove(&ticket);
    }

    /// Returns the scheduler's resource for a model or service, if any target offers it.
    pub fn required_resource(
        &self,
        model: Option<&str>,
        service: Option<&str>,
    ) -> Option<RequiredResource> {
        let scheduler = self.scheduler.lock();
        if let Some(model) = model {
            let model = scheduler.name_key(model)?;
            return Some(RequiredResource::Model {
                model,
                version: None,
                adapter: None,
            });
        }
        let service = scheduler.name_key(service?)?;
        Some(RequiredResource::Service { service })
    }

    /// Starts the polling thread.
    ///
    /// # Errors
    ///
    /// The I/O error if the thread cannot be started.
    pub fn start(self: &Arc<Self>) -> std::io::Result<()> {
        let this = self.clone();
        Builder::new()
            .name("scheduler".into())
            .spawn(move || this.poll_forever())?;
        Ok(())
    }

    fn poll_forever(&self) {
        loop {
            let decided = {
                let mut scheduler = self.scheduler.lock();
                scheduler.poll(self.now())
            };
            for d in decided {
                let tx = self.waiters.lock().get(&d.ticket).cloned();
                // A dropped request cancels itself at the scheduler and needs no decision.
                if let Some(tx) = tx {
                    let _ = tx.send(d.decision);
                }
            }
            let _ = self.wake_rx.recv_timeout(self.poll_delay());
        }
    }

    fn poll_delay(&self) -> Duration {
        let wake_at = self.scheduler.lock().next_wake(self.now());
        let ms = wake_at.map_or(MAX_POLL_INTERVAL_MS, |at| {
            self.millis_until(at).clamp(1, MAX_POLL_INTERVAL_MS)
        });
        Duration::from_millis(ms)
    }

    fn wake_poller(&self) {
        // A full channel means that the poller will be woken anyway.
        let _ = self.wake_tx.try_send(());
    }
}

fn region_of(document: &Document, failure_domain: &str) -> Option<String> {
    let domain = document
        .inventory
        .failure_domain
        .iter()
        .find(|d| d.name == failure_domain)?;
    Some(domain.region.clone())
}

fn locality(
    document: &Document,
    target: &Target,
    failure_domain: &str,
    region: &Option<String>,
) -> Locality {
    if target.failure_domain == failure_domain {
        return Locality::SameDomain;
    }
    if region_of(document, &target.failure_domain) == *region {
        return Locality::SameRegion;
    }
    Locality::OtherRegion
}

fn target_info(target: &Target, leaving: bool, locality: Locality) -> TargetInfo {
    let models = target.model.iter().map(|m| HostedResource::Model {
        name: m.name.clone(),
        version: m.version.clone(),
        adapters: m.adapters.clone(),
    });
    let services = target
        .services
        .iter()
        .map(|s| HostedResource::Service { name: s.clone() });
    TargetInfo {
        name: target.name.clone(),
        locality,
        role: TargetRole::General,
        resources: models.chain(services).collect(),
        slots: target.slots,
        tokens_per_s: target.tokens_per_second,
        leaving,
    }
}
