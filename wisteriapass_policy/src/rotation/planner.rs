//! Decides the standing of each router of a failure domain.

use super::domain_routers::{DomainRouters, NextStanding};
use super::known_router::KnownRouter;
use super::{
    Change, ChangeReason, DomainExit, DomainStrength, ExitAnswer, ExitCall, RotationDecision,
    RouterReport, STRONGER_FACTOR, Standing,
};
use crate::Time;

/// Time for which a new coordinator changes nothing, in milliseconds: by then all routers of the
/// domain have reported.
const SETTLE_MS: u64 = 600;

/// Time without planning after which a coordinator begins anew, in milliseconds. It has missed reports
/// meanwhile, and another one may have decided.
const LATE_MS: u64 = 400;

/// Time after the start in which routers that report for the first time prolong it, in
/// milliseconds. They learn one after the other that the coordinator has changed.
const JOIN_MS: u64 = 3_000;

/// Time for which the size that the previous coordinator knew counts, in milliseconds; as long as a
/// silent router does.
const PREVIOUS_SIZE_MS: u64 = 120_000;

/// Time between two returns of routers that stood by, in milliseconds: by then a crowd has come
/// back to the first one, and has been noticed.
const RETURN_INTERVAL_MS: u64 = 5_000;

/// Decides the standing of each router of a failure domain.
///
/// The coordinator passes it the routers' reports. All state can be restored from later reports.
#[derive(Clone, Debug)]
pub struct RotationPlanner {
    routers: DomainRouters,
    /// When the first of the routers that report began to.
    reporting_since: Option<Time>,
    /// When at least two routers began to report.
    started_at: Option<Time>,
    settled_at: Time,
    planned_at: Option<Time>,
    /// Number of routers that the previous coordinator knew, and until when it counts.
    previous_size: (usize, Time),
    returned_at: Option<Time>,
    exit: DomainExit,
}

impl RotationPlanner {
    /// Creates the planner of a failure domain.
    pub fn new(domain: &str, now: Time) -> Self {
        Self {
            routers: DomainRouters::default(),
            reporting_since: None,
            started_at: None,
            settled_at: now,
            planned_at: None,
            previous_size: (0, now),
            returned_at: None,
            exit: DomainExit::new(domain, now),
        }
    }

    /// Records a router's report.
    pub fn record(&mut self, now: Time, report: RouterReport) {
        if self.routers.reporting(now) == 0 {
            self.reporting_since = Some(now);
        }
        let size = report.domain_size as usize;
        let is_domain_out = report.is_domain_out;
        let has_joined = self.routers.record(now, report);
        self.restart_if_alone(now);
        let Some(started_at) = self.started_at else {
            return;
        };
        if has_joined && now.millis_since(started_at) < JOIN_MS {
            self.settled_at = self.settled_at.max(now.plus_millis(SETTLE_MS));
        }
        if self.is_settled(now) {
            return;
        }
        self.previous_size.0 = self.previous_size.0.max(size);
        if is_domain_out {
            self.exit.restore(now);
        }
    }

    /// Begins anew when no two routers report, as another coordinator may have decided in the
    /// meantime.
    fn restart_if_alone(&mut self, now: Time) {
        if self.routers.reporting(now) < 2 {
            self.started_at = None;
        } else if self.started_at.is_none() {
            self.start(now);
        }
    }

    fn start(&mut self, now: Time) {
        self.started_at = Some(now);
        self.settled_at = now.plus_millis(SETTLE_MS);
        self.previous_size = (0, now.plus_millis(PREVIOUS_SIZE_MS));
        let domain = self.exit.domain().to_owned();
        self.exit = DomainExit::new(&domain, now);
    }

    /// Returns whether the state is known well enough to change it.
    fn is_settled(&self, now: Time) -> bool {
        self.started_at.is_some() && now >= self.settled_at
    }

    /// Returns whether routers keep the standing that they report. A coordinator that is cut off
    /// from all others decides nothing.
    fn is_confirming(&self, now: Time) -> bool {
        let is_recent = |at| now.millis_since(at) < JOIN_MS;
        self.started_at.is_some() || self.reporting_since.is_some_and(is_recent)
    }

    /// Updates the standings; returns what changed.
    pub fn plan(&mut self, now: Time) -> Vec<Change> {
        let is_late = |at| now.millis_since(at) >= LATE_MS;
        if self.planned_at.is_some_and(is_late) && self.started_at.is_some() {
            self.start(now);
        }
        self.planned_at = Some(now);
        self.routers.forget_silent(now);
        self.restart_if_alone(now);
        if !self.is_settled(now) {
            return Vec::new();
        }
        if !self.routers.has_difference() {
            self.exit.cancel();
            let next = self.routers.return_some(now, usize::MAX);
            return self.apply(now, next, &[]);
        }
        let marked = self.routers.mark_crowded(now);
        let chosen = self.routers.choose_serving(now, self.required(now));
        self.update_exit(now, &chosen);
        let is_active = self.exit.is_other_out(now) || self.routers.has_marks(now);
        let next = match (self.exit.is_out(now), is_active) {
            (true, _) => self.routers.leave(),
            (false, true) => self.routers.keep_chosen(now, &chosen),
            (false, false) => self.return_one(now),
        };
        self.apply(now, next, &marked)
    }

    /// Returns the decision for a router that has reported.
    pub fn decision(&self, now: Time, router: &str) -> Option<RotationDecision> {
        let known = self.routers.get(router)?;
        let is_settled = self.is_settled(now);
        let has_difference = self.routers.has_difference();
        let standing = match is_settled {
            true if has_difference => Some(known.standing),
            false if self.is_confirming(now) => known.reported_standing(),
            _ => None,
        };
        Some(RotationDecision {
            standing,
            mark: known.mark_age(now),
            is_domain_out: self.exit.is_out(now),
            domain_size: self.size(now) as u32,
            needs_reports: has_difference || standing.is_some() || self.exit.has_promised(now),
        })
    }

    /// Returns the number of routers with a standing.
    pub fn count(&self, standing: Standing) -> usize {
        let all = self.routers.iter();
        all.filter(|r| r.standing == standing).count()
    }

    /// Returns whether the domain is out.
    pub fn is_out(&self, now: Time) -> bool {
        self.exit.is_out(now)
    }

    /// Returns the request for consents to send to all other domains now, if any.
    pub fn begin_asking(&mut self, now: Time) -> Option<ExitCall> {
        let is_known = self.is_settled(now) || self.exit.is_out(now);
        if !is_known || !self.exit.begin_asking(now) {
            return None;
        }
        let all = self.routers.iter().map(|r| r.report.link_mbps);
        Some(ExitCall {
            domain: self.exit.domain().to_owned(),
            is_out: self.exit.is_out(now),
            weakest_mbps: all.fold(f64::MAX, f64::min),
        })
    }

    /// Records the answers of all other domains to the last request; a domain that did not answer
    /// is `None`.
    pub fn record_answers(&mut self, now: Time, answers: &[Option<ExitAnswer>]) {
        self.exit.record_answers(now, answers);
    }

    /// Answers the request of another domain to consent that it leaves; returns `None` until enough
    /// is known of this one. `live` names routers of this domain that were live a short time ago.
    ///
    /// A router that stopped reporting does not end a consent, as it may have died.
    pub fn answer_exit(
        &mut self,
        now: Time,
        call: &ExitCall,
        live: &[String],
    ) -> Option<ExitAnswer> {
        if !self.is_settled(now) {
            return None;
        }
        let is_known = |r: &KnownRouter| call.is_out || !r.is_silent(now);
        let reports = |name: &String| self.routers.get(name).is_some_and(is_known);
        let is_strong = |r: &&KnownRouter| {
            let least = STRONGER_FACTOR * call.weakest_mbps;
            r.is_serving(now) && r.report.link_mbps >= least
        };
        let strength = DomainStrength {
            strong_serving: self.routers.iter().filter(is_strong).count(),
            has_unreported: !live.iter().all(reports),
        };
        Some(self.exit.answer(now, call, strength))
    }

    /// Returns the number of routers of the domain.
    fn size(&self, now: Time) -> usize {
        let (previous, until) = self.previous_size;
        let previous = if now < until { previous } else { 0 };
        self.routers.iter().count().max(previous)
    }

    /// Returns the number of routers that have to be in rotation, so that the balancer does not use
    /// all of them.
    fn required(&self, now: Time) -> usize {
        self.size(now).div_ceil(2)
    }

    /// Wants the domain to leave while marked routers have to serve, once one of them is crowded.
    fn update_exit(&mut self, now: Time, chosen: &[String]) {
        let chosen = || chosen.iter().filter_map(|name| self.routers.get(name));
        let is_short = chosen().any(|r| r.is_marked(now));
        let is_crowded = chosen().any(|r| r.is_marked(now) && r.is_crowded(now));
        if !is_short {
            self.exit.cancel();
        } else if is_crowded {
            self.exit.want(now);
        }
    }

    /// One more router serves if the last one has returned some time ago, and at once as many as
    /// are missing.
    fn return_one(&self, now: Time) -> Vec<NextStanding> {
        let serving = self.routers.iter().filter(|r| r.is_serving(now)).count();
        let missing = self.required(now).saturating_sub(serving);
        let is_due = |at| now.millis_since(at) >= RETURN_INTERVAL_MS;
        let due = usize::from(self.returned_at.is_none_or(is_due));
        self.routers.return_some(now, missing.max(due))
    }

    fn apply(&mut self, now: Time, next: Vec<NextStanding>, marked: &[String]) -> Vec<Change> {
        for changed in &next {
            self.routers.set_standing(now, changed);
            if changed.standing == Standing::Serving {
                self.returned_at = Some(now);
            }
        }
        let (serving, routers) = (self.count(Standing::Serving), self.size(now));
        let is_changed = |name: &&String| next.iter().any(|n| n.router == **name);
        let kept = marked.iter().filter(|name| !is_changed(name));
        let kept = kept.map(|name| NextStanding {
            router: name.clone(),
            standing: Standing::Serving,
            reason: ChangeReason::NoReplacement,
        });
        let kept: Vec<_> = kept.collect();
        let changes = next.into_iter().chain(kept).filter_map(|changed| {
            let known = self.routers.get(&changed.router)?;
            let is_marked = marked.contains(&changed.router);
            Some(Change {
                standing: changed.standing,
                reason: changed.reason,
                marked_for: is_marked.then_some(known.report.crowding),
                mark_ms: known.mark_age(now).map_or(0, |mark| mark.length_ms),
                utilization: known.report.utilization,
                serving,
                routers,
                router: changed.router,
            })
        });
        changes.collect()
    }
}
