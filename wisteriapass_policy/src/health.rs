//! Avoids slow, silent and failing targets, with gradual re-entry.
//!
//! Handles a target that is ten times slower than others, and one that takes requests and never
//! answers. Without it such a target looks idle or just busy, keeps receiving its share of the
//! requests and loses all of them (`loads --pattern slow --without health`, `loads --pattern silent
//! --without health`).
//!
//! Speed is compared with the pool's median, so that a pool that is slow as a whole is not avoided
//! as a whole. Half the median is far outside the effect of batching on a healthy target. Silence
//! is judged per target and not per run: a healthy target that is responding shows activity many
//! times a second. The timeout is longer if all requests of this router may be queued at the
//! target: with 1.5 s, healthy targets of a saturated pool were avoided and their prefixes moved
//! away from home.
//!
//! A target is first avoided for two seconds, about the time of one answer. The time doubles on
//! each repetition, so that a target that stays bad costs less and less. Afterwards the target gets
//! one request, then two, four and so on, each step after a few successful answers.

use crate::{PolicyConfig, Time};

/// Limit on requests in flight at a healthy target.
const UNLIMITED: u32 = u32::MAX;
/// Limit on requests in flight above which re-entry is complete.
const REENTRY_COMPLETE: u32 = 16;

/// Health of one target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Health {
    /// Speed of its runs as a share of the nominal speed.
    pub(crate) speed: f64,
    /// Time of the last activity of the target itself.
    pub(crate) last_activity: Time,
    avoid_until: Time,
    avoid_duration_s: f64,
    consecutive_failures: u32,
    limit: u32,
    successes: u32,
}

impl Health {
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

    /// Returns how many requests of this router the target may have in flight.
    pub(crate) fn limit(&self, now: Time) -> u32 {
        if now < self.avoid_until {
            return 0;
        }
        self.limit
    }

    /// Returns the time until which the target gets no requests.
    pub(crate) fn avoided_until(&self) -> Time {
        self.avoid_until
    }

    /// Returns whether the target is avoided or in re-entry.
    pub(crate) fn is_suspect(&self) -> bool {
        self.limit != UNLIMITED
    }

    /// Avoids the target for a while, twice as long the next time.
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

    /// Records a failure; several consecutive ones cause the target to be avoided.
    pub(crate) fn record_failure(&mut self, now: Time, cfg: &PolicyConfig) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= cfg.failures_to_avoid || self.is_suspect() {
            self.avoid(now, cfg);
        }
    }

    /// Records a successful answer; several of them raise the limit during re-entry.
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

    /// Updates the moving average of the speed.
    pub(crate) fn learn_speed(&mut self, speed: f64, step: f64) {
        self.speed += (speed - self.speed) * step;
    }
}
