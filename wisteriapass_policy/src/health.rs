//! Avoidance of slow, silent and failing targets, with gradual re-entry.
//!
//! Answers one target that is ten times slower and one that takes work and never answers. Without
//! it such a target looks idle or merely busy, keeps its share of the work and loses all of it
//! (`loads --pattern slow --without health`, `loads --pattern silent --without health`).
//!
//! Speed is compared with the pool's median, so that a pool which is slow as a whole is not avoided
//! as a whole. Half the median is far outside what batching does to a healthy target. Silence is
//! judged by the target, not by the run: a healthy target that answers gives some sign many times a
//! second. If all that this router has there may wait in its queue, more patience is due: at 1.5 s
//! well targets of a saturated pool were avoided, and their prefixes moved away from home. Avoiding starts at two seconds, about one answer's time, and doubles, so that a target
//! which stays bad costs less and less; after it the target gets one request, then two, four and so
//! on, each step after a few good answers.

use crate::{PolicyConfig, Time};

/// Requests a target may have at a time when nothing is wrong.
const UNLIMITED: u32 = u32::MAX;
/// Requests in flight above which re-entry counts as complete.
const REENTRY_COMPLETE: u32 = 16;

/// What is known of one target's health.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Health {
    /// Speed of its runs as a share of the nominal one.
    pub(crate) speed: f64,
    /// Last sign of life from the target itself.
    pub(crate) last_activity: Time,
    avoid_until: Time,
    avoid_duration_s: f64,
    consecutive_failures: u32,
    limit: u32,
    successes: u32,
}

impl Health {
    /// Creates the state of a target of which nothing bad is known.
    pub(crate) fn new(cfg: &PolicyConfig) -> Self {
        Self {
            speed: 1.0,
            last_activity: Time::default(),
            avoid_until: Time::default(),
            avoid_duration_s: cfg.avoid_first_s,
            consecutive_failures: 0,
            limit: UNLIMITED,
            successes: 0,
        }
    }

    /// Returns how many requests the target may have in flight from this router.
    pub(crate) fn limit(&self, now: Time) -> u32 {
        if now < self.avoid_until {
            return 0;
        }
        self.limit
    }

    /// Returns until when the target gets no work at all.
    pub(crate) fn avoided_until(&self) -> Time {
        self.avoid_until
    }

    /// Returns whether the target is avoided or in re-entry.
    pub(crate) fn is_suspect(&self) -> bool {
        self.limit != UNLIMITED
    }

    /// Avoids the target for a while; the next time for twice as long.
    pub(crate) fn avoid(&mut self, now: Time, cfg: &PolicyConfig) {
        if now < self.avoid_until {
            return;
        }
        self.avoid_until = now.plus_secs(self.avoid_duration_s);
        self.avoid_duration_s = (self.avoid_duration_s * 2.0).min(cfg.avoid_max_s);
        self.limit = 1;
        self.successes = 0;
        self.consecutive_failures = 0;
    }

    /// Counts a failure; several in a row lead to avoidance.
    pub(crate) fn record_failure(&mut self, now: Time, cfg: &PolicyConfig) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= cfg.failures_to_avoid || self.is_suspect() {
            self.avoid(now, cfg);
        }
    }

    /// Counts a good answer; in re-entry several of them allow more work.
    pub(crate) fn record_success(&mut self, cfg: &PolicyConfig) {
        self.consecutive_failures = 0;
        if !self.is_suspect() {
            return;
        }
        self.successes += 1;
        if self.successes < cfg.reentry_step {
            return;
        }
        self.successes = 0;
        self.limit *= 2;
        if self.limit > REENTRY_COMPLETE {
            self.limit = UNLIMITED;
            self.avoid_duration_s = cfg.avoid_first_s;
        }
    }

    /// Takes a run's measured speed in.
    pub(crate) fn learn_speed(&mut self, speed: f64, step: f64) {
        self.speed += (speed - self.speed) * step;
    }
}
