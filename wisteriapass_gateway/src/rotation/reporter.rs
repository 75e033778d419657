//! Reports of this router to the coordinator of its failure domain.

use tokio::task::spawn_local;
use tokio::time::sleep;
use wisteriapass_coord::relay::RelayInfo;
use wisteriapass_policy::Time;
use wisteriapass_policy::rotation::{Crowding, Phase, RouterReport};

use super::coordinator::{self, VALID_MS};
use super::messages::{ROTATION_PATH, RotationAnswer};
use super::relays::DomainRelays;
use crate::prelude::*;
use crate::rpc::deadline_in;

/// Interval at which a router looks whether it has something to report, in milliseconds. A crowd is
/// reported at once, as callers are late for as long as it lasts.
const TICK_MS: u64 = 50;

/// Interval between reports where the routers of a failure domain differ, in milliseconds.
const REPORT_MS: u64 = 200;

/// Interval between the first reports of a process, in milliseconds. They show whether routers
/// differ.
const FIRST_REPORTS_MS: u64 = 500;

/// Time for which the first reports are sent, in milliseconds.
const FIRST_MS: u64 = 10_000;

/// Interval between later reports where the routers do not differ, in milliseconds. A VM of another
/// size may replace one of them.
const IDLE_REPORT_MS: u64 = 5_000;

/// Time within which an answer has to start, in milliseconds: also over a link on which callers
/// queue.
const ANSWER_TIMEOUT_MS: u64 = 700;

/// Reports this router's load; never returns unless the bandwidth of its link is unknown. Such a
/// router decides by itself, and is in nobody's count.
pub async fn report_load(gw: Rc<Gateway>) {
    let Some(link_mbps) = gw.settings.vm_size.measurable_mbps() else {
        if let Some(mbps) = gw.settings.vm_size.link_mbps {
            log::warn!(target: "rotation", "Bandwidth ignored. link_mbps={mbps} cause=out_of_range");
        }
        return;
    };
    let mut reporter = Reporter {
        gw,
        link_mbps,
        started_at: Instant::now(),
        due_at: Instant::now(),
        last: None,
        coordinator: None,
    };
    loop {
        reporter.step();
        sleep(Duration::from_millis(TICK_MS)).await;
    }
}

/// Sends the reports of this router.
struct Reporter {
    gw: Rc<Gateway>,
    link_mbps: f64,
    started_at: Instant,
    due_at: Instant,
    /// What the last report stated.
    last: Option<(Phase, Crowding)>,
    /// Coordinator to which the last report was sent.
    coordinator: Option<String>,
}

impl Reporter {
    fn step(&mut self) {
        let gw = self.gw.clone();
        let now = gw.time();
        gw.rotation.close_idle_if_due(now);
        coordinator::plan_if_coordinator(&gw, now);
        let next_ms = self.interval_ms();
        let current = (phase(&gw), gw.rotation.crowding(now, gw.is_overloaded()));
        let has_news = self.last != Some(current) && self.needs_reports();
        let is_due = Instant::now() >= self.due_at || gw.rotation.is_report_due.replace(false);
        if !is_due && !has_news {
            return;
        }
        self.last = Some(current);
        // While no relay is known, one is looked for at each tick: a router that restarts learns its
        // standing before the balancer sends it callers.
        let is_reported = self.report(now, next_ms);
        self.due_at = deadline_in(if is_reported { next_ms } else { 0 });
    }

    fn needs_reports(&self) -> bool {
        let held = self.gw.rotation.held();
        held.is_some_and(|held| held.decision.needs_reports)
    }

    fn interval_ms(&self) -> u64 {
        if self.needs_reports() {
            return REPORT_MS;
        }
        if self.started_at.elapsed() < Duration::from_millis(FIRST_MS) {
            return FIRST_REPORTS_MS;
        }
        IDLE_REPORT_MS
    }

    /// Reports to the coordinator, and tries relays that should be coordinator but were silent;
    /// returns whether there is a coordinator.
    fn report(&mut self, now: Time, next_ms: u64) -> bool {
        let gw = &self.gw;
        let me = gw.ledger.id().0;
        let relays = DomainRelays::own(gw);
        let choice = gw.rotation.choice.borrow();
        let chosen = choice.choose(now, &me, &relays.in_order);
        let chosen = chosen.map(|c| c.name.clone());
        let retried = choice.retry(now, &me, &relays.in_order);
        let retried = retried.map(|c| c.name.clone());
        drop(choice);
        if self.coordinator != chosen {
            log::info!(
                target: "rotation",
                "Coordinator. relay={} before={}",
                chosen.as_deref().unwrap_or("-"),
                self.coordinator.as_deref().unwrap_or("-")
            );
            self.coordinator.clone_from(&chosen);
        }
        let Some(chosen) = chosen else {
            return false;
        };
        let report = self.compose(now, next_ms);
        if let Some(relay) = retried.and_then(|name| relays.info(&name).cloned()) {
            spawn_local(try_again(gw.clone(), relay, report.clone()));
        }
        if chosen == me {
            if let Some(decision) = coordinator::decide(gw, now, report) {
                gw.rotation.hold(now, now, decision, VALID_MS);
            }
        } else if let Some(relay) = relays.info(&chosen).cloned() {
            spawn_local(send(gw.clone(), relay, now, report));
        }
        true
    }

    fn compose(&self, now: Time, next_ms: u64) -> RouterReport {
        let gw = &self.gw;
        let held = gw.rotation.held();
        let decision = held.map(|held| held.decision);
        let is_in_force = held.is_some_and(|held| now < held.valid_until);
        RouterReport {
            router: gw.ledger.id().0,
            process: gw.rotation.process,
            link_mbps: self.link_mbps,
            cores: gw.settings.vm_size.cores,
            utilization: gw.rotation.utilization(now),
            crowding: gw.rotation.crowding(now, gw.is_overloaded()),
            phase: phase(gw),
            held: held.and_then(|held| held.held_standing(now)),
            mark: held.and_then(|held| held.mark_age(now)),
            is_domain_out: is_in_force && decision.is_some_and(|d| d.is_domain_out),
            domain_size: decision.map_or(0, |d| d.domain_size),
            next_ms: next_ms + TICK_MS,
        }
    }
}

/// Sends a report to the coordinator, and puts the answer in force.
async fn send(gw: Rc<Gateway>, relay: RelayInfo, reported_at: Time, report: RouterReport) {
    let Some(answer) = call(&gw, &relay, &report).await else {
        return;
    };
    match answer.decision {
        Some(decision) => gw
            .rotation
            .hold(gw.time(), reported_at, decision, answer.valid_ms),
        // Another relay decides; it is asked before the decision in force expires.
        None => gw
            .rotation
            .is_report_due
            .set(answer.coordinator != relay.id),
    }
}

/// Finds out whether a relay answers again. Its decision counts once it has all reports.
async fn try_again(gw: Rc<Gateway>, relay: RelayInfo, report: RouterReport) {
    call(&gw, &relay, &report).await;
}

async fn call(gw: &Gateway, relay: &RelayInfo, report: &RouterReport) -> Option<RotationAnswer> {
    let name = &relay.id.0;
    gw.rotation.choice.borrow_mut().record_sent(gw.time(), name);
    let until = deadline_in(ANSWER_TIMEOUT_MS);
    let answer: Option<RotationAnswer> = gw
        .rpc
        .call(relay.address, ROTATION_PATH, report, until)
        .await;
    let answer = answer?;
    let mut choice = gw.rotation.choice.borrow_mut();
    choice.record_answer(gw.time(), name, &answer.coordinator.0);
    Some(answer)
}

fn phase(gw: &Gateway) -> Phase {
    if gw.is_stopping() {
        return Phase::Stopping;
    }
    if gw.is_initialized() {
        return Phase::Running;
    }
    Phase::Starting
}
