//! State of this router's part in rotation.

use tokio::sync::watch;
use wisteriapass_policy::rotation::{
    CoordinatorChoice, Crowding, RotationDecision, RotationPlanner, Standing,
};
use wisteriapass_policy::{LinkMeter, Time};

use super::held_decision::HeldDecision;
use crate::prelude::*;
use crate::settings::GatewaySettings;

/// Time from the beginning of standby to the end of client connections, in milliseconds: two checks
/// of the balancer. Callers whose connection ends earlier come back to this router.
const CLOSE_DELAY_MS: u64 = 2_500;

/// Time after the start of a process in which it awaits the first answer of a coordinator before it
/// gets callers, in milliseconds: a few ticks and round trips. One answer of a router that was on
/// standby before its restart would bring its crowd back.
const FIRST_ANSWER_MS: u64 = 300;

/// State of this router's part in rotation.
pub struct RotationState {
    /// Identity of this process in reports.
    pub(super) process: u64,
    /// Decisions for all routers of the failure domain, while this router is the coordinator.
    pub(super) planner: RefCell<RotationPlanner>,
    /// Whether this router was the coordinator when it last looked.
    pub(super) is_coordinator: Cell<bool>,
    /// Whether the failure domain was out when the coordinator last looked.
    pub(super) was_domain_out: Cell<bool>,
    pub(super) choice: RefCell<CoordinatorChoice>,
    /// Whether the next report is due at once.
    pub(super) is_report_due: Cell<bool>,
    started_at: Time,
    meter: RefCell<Option<LinkMeter>>,
    held: Cell<Option<HeldDecision>>,
    standby_since: Cell<Option<Time>>,
    /// Beginning of the last standby in which idle connections were closed.
    closed_for: Cell<Option<Time>>,
    /// Changes when idle client connections are to close.
    closing: watch::Sender<u64>,
}

impl RotationState {
    /// Creates the state of a router without a coordinator.
    pub fn new(clock: Clock, settings: &GatewaySettings) -> Self {
        let now = Time::from_millis(clock.now_ms());
        let meter = settings.vm_size.measurable_mbps().map(LinkMeter::new);
        Self {
            process: rand::random(),
            planner: RefCell::new(RotationPlanner::new(&settings.failure_domain, now)),
            is_coordinator: Cell::new(false),
            was_domain_out: Cell::new(false),
            choice: RefCell::default(),
            is_report_due: Cell::new(false),
            started_at: now,
            meter: RefCell::new(meter),
            held: Cell::new(None),
            standby_since: Cell::new(None),
            closed_for: Cell::new(None),
            closing: watch::Sender::new(0),
        }
    }

    /// Records bytes of callers' requests and answers that crossed this router's link.
    pub fn record_bytes(&self, now: Time, bytes_in: u64, bytes_out: u64) {
        if let Some(meter) = &mut *self.meter.borrow_mut() {
            meter.record(now, bytes_in, bytes_out);
        }
    }

    /// Returns the used fraction of this router's link; 0 if its bandwidth is unknown.
    pub fn utilization(&self, now: Time) -> f64 {
        let meter = self.meter.borrow();
        meter.as_ref().map_or(0.0, |meter| meter.utilization(now))
    }

    /// Returns whether the load exceeds the capacity of this router.
    pub fn crowding(&self, now: Time, is_overloaded: bool) -> Crowding {
        Crowding::of(self.utilization(now), is_overloaded)
    }

    /// Returns the standing that a coordinator decided for this router, if it is in force.
    pub fn standing(&self, now: Time) -> Option<Standing> {
        self.held.get().and_then(|held| held.standing(now))
    }

    /// Returns whether this router has just started and may yet learn that it stands by.
    pub fn awaits_first_answer(&self, now: Time) -> bool {
        let is_reporting = self.meter.borrow().is_some();
        let is_young = now.millis_since(self.started_at) < FIRST_ANSWER_MS;
        is_reporting && is_young && self.held.get().is_none()
    }

    /// Returns whether the balancer sends callers elsewhere, so that their connections may end.
    pub fn closes_connections(&self, now: Time) -> bool {
        let is_standby = self.standing(now) == Some(Standing::Standby);
        let is_known = |since| now.millis_since(since) >= CLOSE_DELAY_MS;
        is_standby && self.standby_since.get().is_some_and(is_known)
    }

    /// Returns a receiver that changes when idle client connections are to close.
    pub fn closing(&self) -> watch::Receiver<u64> {
        self.closing.subscribe()
    }

    /// Closes idle client connections once in each standby.
    pub(super) fn close_idle_if_due(&self, now: Time) {
        let since = self.standby_since.get();
        if self.closes_connections(now) && self.closed_for.get() != since {
            self.closed_for.set(since);
            self.closing.send_modify(|count| *count += 1);
        }
    }

    /// Returns the last decision, in force or not.
    pub(super) fn held(&self) -> Option<HeldDecision> {
        self.held.get()
    }

    /// Puts a decision in force, unless a later report was answered already.
    pub(super) fn hold(
        &self,
        now: Time,
        reported_at: Time,
        decision: RotationDecision,
        valid_ms: u64,
    ) {
        let is_late = |held: HeldDecision| held.reported_at > reported_at;
        if self.held.get().is_some_and(is_late) {
            return;
        }
        let before = self.standing(now);
        self.held.set(Some(HeldDecision {
            decision,
            reported_at,
            valid_until: reported_at.plus_millis(valid_ms),
        }));
        let after = self.standing(now);
        if before == after {
            return;
        }
        let is_standby = after == Some(Standing::Standby);
        self.standby_since.set(is_standby.then_some(now));
        log::info!(
            target: "rotation",
            "Standing. standing={} before={} domain_out={} utilization={:.2}",
            standing_text(after),
            standing_text(before),
            decision.is_domain_out,
            self.utilization(now)
        );
    }
}

fn standing_text(standing: Option<Standing>) -> String {
    standing.map_or_else(|| "own".to_owned(), |standing| standing.to_string())
}
