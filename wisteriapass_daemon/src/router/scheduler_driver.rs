//! The policy's scheduler with a clock and threads around it: requests wait here for their turn.

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

/// Longest time between two polls, in milliseconds.
const POLL_MS: u64 = 50;

/// What the scheduler decided about one request.
pub(super) type DecisionReceiver = Receiver<Decision>;

/// Decides when and where requests run.
pub struct SchedulerDriver {
    started: Instant,
    scheduler: Mutex<Scheduler>,
    waiting: Mutex<HashMap<Ticket, Sender<Decision>>>,
    /// Which start of each target's side process was heard last.
    incarnations: Mutex<HashMap<String, Incarnation>>,
    wake: Sender<()>,
    woken: Receiver<()>,
}

impl Service for SchedulerDriver {
    const NAME: &'static str = "scheduling";
}

impl SchedulerDriver {
    /// Creates a scheduler that knows no targets.
    ///
    /// Second copies are switched off whatever is given: the pipeline follows one run at a time.
    pub fn new(mut cfg: PolicyConfig) -> Self {
        cfg.parts.hedging = false;
        let (wake, woken) = flume::bounded(1);
        Self {
            started: Instant::now(),
            scheduler: Mutex::new(Scheduler::new(cfg)),
            waiting: Mutex::default(),
            incarnations: Mutex::default(),
            wake,
            woken,
        }
    }

    /// Returns the scheduler's time of an instant.
    pub fn time_of(&self, at: Instant) -> Time {
        let since = at.saturating_duration_since(self.started);
        Time(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
    }

    /// Returns the scheduler's time now.
    pub fn now(&self) -> Time {
        self.time_of(Instant::now())
    }

    /// Returns how long it is until a time of the scheduler, in milliseconds.
    pub fn millis_until(&self, at: Time) -> u64 {
        at.0.saturating_sub(self.now().0) / 1_000
    }

    /// Takes over targets and accounts of a configuration; `leaving` names further targets that
    /// get no new work.
    pub fn set_document(&self, document: &Document, failure_domain: &str, leaving: &[String]) {
        let region = region_of(document, failure_domain);
        let targets: Vec<TargetInfo> = document
            .inventory
            .target
            .iter()
            .map(|t| {
                let mut facts = target_facts(
                    t,
                    document.inventory.is_emptied(t),
                    nearness(document, t, failure_domain, &region),
                );
                facts.leaving |= leaving.contains(&t.name);
                facts
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
        self.poke();
    }

    /// Takes in what a side process said of its target's load.
    pub fn record_load(&self, heard: &ReceivedLoad) {
        let report = LoadReport {
            taken_at: self.time_of(heard.measured_at),
            running: heard.load.running,
            queued: heard.load.queued,
            interactive: heard.load.interactive,
            of_receiver: heard.load.of_receiver,
        };
        let is_renewed = self.is_renewed(heard);
        self.with_scheduler(|s, now| {
            let Some(target) = s.target_key(&heard.target) else {
                return;
            };
            if is_renewed {
                s.target_restarted(now, target);
            }
            s.record_load_report(now, target, report);
        });
    }

    /// Returns whether another start of a side process was heard before this one.
    fn is_renewed(&self, heard: &ReceivedLoad) -> bool {
        let mut incarnations = self.incarnations.lock();
        let before = incarnations.insert(heard.target.clone(), heard.incarnation);
        let is_renewed = before.is_some_and(|before| before < heard.incarnation);
        if is_renewed {
            log::info!(target: "fleet", "Target's side process renewed. name={}", heard.target);
        }
        is_renewed
    }

    /// Uses the scheduler, then has it polled.
    pub fn with_scheduler<T>(&self, work: impl FnOnce(&mut Scheduler, Time) -> T) -> T {
        let now = self.now();
        let result = work(&mut self.scheduler.lock(), now);
        self.poke();
        result
    }

    /// Offers a request; the turn tells when and where it runs.
    pub fn offer(self: &Arc<Self>, facts: RequestInfo) -> ScheduledRequest {
        let (tx, rx) = flume::unbounded();
        let now = self.now();
        let (ticket, first) = {
            let mut scheduler = self.scheduler.lock();
            let (ticket, first) = scheduler.offer(now, facts);
            // Registered under the scheduler's lock, so that no poll's decision is missed.
            self.waiting.lock().insert(ticket, tx);
            (ticket, first)
        };
        self.poke();
        ScheduledRequest::new(self.clone(), ticket, first, rx)
    }

    /// Forgets who waits for a ticket.
    pub(super) fn remove_waiter(&self, ticket: Ticket) {
        self.waiting.lock().remove(&ticket);
    }

    /// Returns what a model or service is to the scheduler, if some target holds it.
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

    /// Starts the thread that polls.
    ///
    /// # Errors
    ///
    /// The system's error if the thread cannot be started.
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
                let tx = self.waiting.lock().get(&d.ticket).cloned();
                // A turn that was given up takes no decision, and gives its place back itself.
                if let Some(tx) = tx {
                    let _ = tx.send(d.decision);
                }
            }
            let _ = self.woken.recv_timeout(self.pause());
        }
    }

    fn pause(&self) -> Duration {
        let wake = self.scheduler.lock().next_wake(self.now());
        let ms = wake.map_or(POLL_MS, |at| self.millis_until(at).clamp(1, POLL_MS));
        Duration::from_millis(ms)
    }

    fn poke(&self) {
        // A poll that is due already need not be asked for twice.
        let _ = self.wake.try_send(());
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

fn nearness(
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

fn target_facts(target: &Target, leaving: bool, nearness: Locality) -> TargetInfo {
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
        locality: nearness,
        role: TargetRole::General,
        resources: models.chain(services).collect(),
        slots: target.slots,
        tokens_per_s: target.tokens_per_second,
        leaving,
    }
}
