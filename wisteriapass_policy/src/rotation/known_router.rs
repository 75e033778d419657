//! A router as the coordinator knows it.

use super::mark::Mark;
use super::{Crowding, HeldStanding, MarkAge, Phase, RouterReport, STRONGER_FACTOR, Standing};
use crate::Time;

/// Number of reports after which a router that sent none is silent.
const MISSED_REPORTS: u64 = 3;

/// Utilization from which a single report shows that a router is crowded; headers of packets, which
/// are not counted, take about a twentieth of a full link. Below it the next report has to confirm
/// it, as a few large requests that arrive together pass within one report.
const CLEAR_UTILIZATION: f64 = 0.95;

/// Time between two reports that confirm each other, in milliseconds.
const CONFIRM_MS: u64 = 150;

/// Time after a router returned for which a single report shows that it is crowded, in
/// milliseconds.
const RETURN_WATCH_MS: u64 = 5_000;

/// Utilization from which a router has the crowd that has just left another one. Callers of other
/// accounts use a small part of a link, and a crowd that arrives fills it within a second.
const MOVED_CROWD_UTILIZATION: f64 = 0.5;

/// Time after a mark within which its crowd may arrive at another router, in milliseconds: two checks
/// of the balancer, for each of a few routers in turn.
const CROWD_MOVES_MS: u64 = 12_000;

/// A router as the coordinator knows it.
#[derive(Clone, Debug)]
pub struct KnownRouter {
    /// Its last report.
    pub report: RouterReport,
    /// When the report arrived.
    pub reported_at: Time,
    /// When the first of consecutive reports arrived that state a crowd.
    crowded_since: Option<Time>,
    /// Whether it accepts new callers.
    pub standing: Standing,
    /// When the coordinator last changed its standing, if ever.
    pub changed_at: Option<Time>,
    /// Its last mark.
    pub mark: Option<Mark>,
}

impl KnownRouter {
    /// Creates a router from its first report.
    pub fn new(now: Time, report: RouterReport) -> Self {
        let mut router = Self {
            reported_at: now,
            crowded_since: None,
            standing: Standing::Serving,
            changed_at: None,
            mark: None,
            report,
        };
        router.adopt_reported_state(now);
        router.note_crowding(now);
        router
    }

    /// Applies a further report; returns whether the router had been silent.
    pub fn apply(&mut self, now: Time, report: RouterReport) -> bool {
        let was_silent = self.is_silent(now);
        if self.report.process != report.process {
            self.crowded_since = None;
        }
        self.report = report;
        self.reported_at = now;
        if was_silent {
            self.adopt_reported_state(now);
        }
        self.note_crowding(now);
        was_silent
    }

    /// Takes over the standing and mark that the router reported. Another coordinator may have
    /// decided them while this one heard nothing.
    fn adopt_reported_state(&mut self, now: Time) {
        if let Some(held) = self.report.held.filter(|h| h.valid_ms > 0) {
            self.standing = held.standing;
        }
        let reported = self.report.mark.map(|age| Mark::from_age(now, age));
        self.mark = match (self.mark, reported) {
            (Some(known), Some(reported)) => Some(known.later(reported)),
            (known, reported) => known.or(reported),
        };
    }

    fn note_crowding(&mut self, now: Time) {
        self.crowded_since = match self.report.crowding {
            Crowding::None => None,
            Crowding::Link | Crowding::Processor => self.crowded_since.or(Some(now)),
        };
    }

    /// Returns whether reports are missing.
    pub fn is_silent(&self, now: Time) -> bool {
        now.millis_since(self.reported_at) > MISSED_REPORTS * self.report.next_ms
    }

    /// Returns whether the router can serve callers.
    pub fn is_usable(&self, now: Time) -> bool {
        self.report.phase == Phase::Running && !self.is_silent(now)
    }

    /// Returns whether the router can serve callers and accepts new ones.
    pub fn is_serving(&self, now: Time) -> bool {
        self.standing == Standing::Serving && self.is_usable(now)
    }

    /// Returns whether a router with this bandwidth could take over this router's callers.
    pub fn is_weaker_than(&self, mbps: f64) -> bool {
        self.report.link_mbps * STRONGER_FACTOR <= mbps
    }

    /// Returns whether the router is marked.
    pub fn is_marked(&self, now: Time) -> bool {
        self.mark.is_some_and(|m| m.is_active(now))
    }

    /// Returns whether the router is crowded beyond doubt.
    pub fn is_crowded(&self, now: Time) -> bool {
        let Some(since) = self.crowded_since else {
            return false;
        };
        let returned = |at| now.millis_since(at) < RETURN_WATCH_MS;
        self.report.utilization >= CLEAR_UTILIZATION
            || self.report.crowding == Crowding::Processor
            || self.changed_at.is_some_and(returned)
            || self.reported_at.millis_since(since) >= CONFIRM_MS
    }

    /// Returns whether a crowd that left another router seems to have arrived at this one.
    pub fn has_moved_crowd(&self) -> bool {
        self.report.utilization >= MOVED_CROWD_UTILIZATION
    }

    /// Returns whether the router was marked so recently that its crowd may not have settled yet.
    pub fn was_marked_recently(&self, now: Time) -> bool {
        let is_recent = |mark: Mark| mark.age(now).age_ms < CROWD_MOVES_MS;
        self.mark.is_some_and(is_recent)
    }

    /// Returns the standing that the router reported, if it is valid.
    pub fn reported_standing(&self) -> Option<Standing> {
        let is_valid = |held: &HeldStanding| held.valid_ms > 0;
        self.report.held.filter(is_valid).map(|held| held.standing)
    }

    /// Returns the router's last mark for a message.
    pub fn mark_age(&self, now: Time) -> Option<MarkAge> {
        self.mark.map(|mark| mark.age(now))
    }
}
