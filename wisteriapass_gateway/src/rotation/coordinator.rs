//! The coordinator's part: takes reports, decides and answers.

use wisteriapass_policy::Time;
use wisteriapass_policy::rotation::{Change, ChangeReason, RotationDecision, RotationPlanner};
use wisteriapass_policy::rotation::{RouterReport, Standing};

use super::messages::RotationAnswer;
use super::relays::DomainRelays;
use crate::ledger::Role;
use crate::prelude::*;

/// Time for which a decision is valid, in milliseconds: longer than it takes to find another
/// coordinator, and shorter than the balancer needs to notice that a router serves again.
pub const VALID_MS: u64 = 1_500;

/// Answers a router's report; `None` if the report is not plausible or no relay is known.
pub fn answer_report(gw: &Gateway, report: RouterReport) -> Option<RotationAnswer> {
    if !report.is_plausible() {
        log::warn!(
            target: "rotation",
            "Report ignored. router={} link_mbps={} utilization={} cause=out_of_range",
            report.router, report.link_mbps, report.utilization
        );
        return None;
    }
    let now = gw.time();
    let relays = DomainRelays::own(gw);
    let choice = gw.rotation.choice.borrow();
    let me = gw.ledger.id();
    let coordinator = choice.choose(now, &me.0, &relays.in_order)?.name.clone();
    drop(choice);
    let is_own = coordinator == me.0 && gw.ledger.role() == Role::Relay;
    let decision = is_own.then(|| decide(gw, now, report)).flatten();
    Some(RotationAnswer {
        coordinator: coordinator.into(),
        decision,
        valid_ms: VALID_MS,
    })
}

/// Records a report and returns the decision for the router that sent it.
pub fn decide(gw: &Gateway, now: Time, report: RouterReport) -> Option<RotationDecision> {
    let router = report.router.clone();
    gw.rotation.is_coordinator.set(true);
    gw.rotation.planner.borrow_mut().record(now, report);
    plan(gw, now);
    gw.rotation.planner.borrow().decision(now, &router)
}

/// Updates the decisions, or forgets them if another relay has become the coordinator.
pub fn plan_if_coordinator(gw: &Gateway, now: Time) {
    if !gw.rotation.is_coordinator.get() {
        return;
    }
    if is_coordinator(gw, now) {
        return plan(gw, now);
    }
    gw.rotation.is_coordinator.set(false);
    gw.rotation.was_domain_out.set(false);
    let planner = RotationPlanner::new(&gw.settings.failure_domain, now);
    gw.rotation.planner.replace(planner);
    gw.metrics.record_rotation(0, 0);
}

/// Returns whether this router decides for its failure domain.
pub fn is_coordinator(gw: &Gateway, now: Time) -> bool {
    if gw.ledger.role() != Role::Relay {
        return false;
    }
    let me = gw.ledger.id().0;
    let relays = DomainRelays::own(gw);
    let choice = gw.rotation.choice.borrow();
    let chosen = choice.choose(now, &me, &relays.in_order);
    chosen.is_some_and(|c| c.name == me)
}

fn plan(gw: &Gateway, now: Time) {
    let mut planner = gw.rotation.planner.borrow_mut();
    let changes = planner.plan(now);
    for change in &changes {
        record_change(gw, change);
    }
    let is_out = planner.is_out(now);
    match (gw.rotation.was_domain_out.replace(is_out), is_out) {
        (false, true) => log::info!(target: "rotation", "Domain leaves."),
        (true, false) => log::info!(target: "rotation", "Domain returns."),
        (false, false) | (true, true) => {}
    }
    if !changes.is_empty() {
        let (serving, standby) = (
            planner.count(Standing::Serving),
            planner.count(Standing::Standby),
        );
        gw.metrics.record_rotation(serving, standby);
    }
}

fn record_change(gw: &Gateway, change: &Change) {
    if let Some(cause) = change.marked_for {
        gw.metrics.count_rotation_mark(cause);
    }
    if change.reason != ChangeReason::NoReplacement {
        gw.metrics.count_rotation_change(change.reason);
    }
    let cause = change.marked_for.map(|cause| cause.to_string());
    log::info!(
        target: "rotation",
        "Decided. router={} standing={} reason={} cause={} mark_ms={} utilization={:.2} \
         serving={} routers={}",
        change.router,
        change.standing,
        change.reason,
        cause.as_deref().unwrap_or("-"),
        change.mark_ms,
        change.utilization,
        change.serving,
        change.routers
    );
}
