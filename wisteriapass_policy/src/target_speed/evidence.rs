//! A decaying robust average of the logarithms of slowness samples.

use super::{MAX_FACTOR, MIN_FACTOR};
use crate::Time;

/// How fast an average follows its samples.
#[derive(Clone, Copy, Debug)]
pub(super) struct EvidenceLimits {
    /// Half-life of the weight of a sample, in seconds.
    pub half_life_s: f64,
    /// Upper limit of the weight of all samples.
    pub max_weight: f64,
    /// Largest distance from the average at which a sample counts in full, as a logarithm.
    pub max_step: f64,
    /// Weight of a sample above the average relative to one below.
    pub slow_share: f64,
}

/// What was observed of one target: an average with the weight of the samples behind it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Evidence {
    limits: EvidenceLimits,
    log: f64,
    weight: f64,
    at: Time,
}

impl Evidence {
    /// Creates an empty average.
    pub fn new(limits: EvidenceLimits) -> Self {
        Self {
            limits,
            log: 0.0,
            weight: 0.0,
            at: Time::default(),
        }
    }

    /// Adds the ratio of an observed time to the usual one.
    pub fn add(&mut self, now: Time, ratio: f64, weight: f64) {
        if weight <= 0.0 {
            return;
        }
        let EvidenceLimits {
            max_weight,
            max_step,
            slow_share,
            ..
        } = self.limits;
        let sample = ratio.clamp(MIN_FACTOR, MAX_FACTOR).ln();
        self.weight = (self.weight(now) + weight).min(max_weight);
        self.at = now;
        let distance = (sample - self.log).clamp(-max_step, max_step);
        let share = if distance > 0.0 { slow_share } else { 1.0 };
        self.log += distance * share * (weight / self.weight).min(1.0);
    }

    /// Returns the average.
    pub fn log(&self) -> f64 {
        self.log
    }

    /// Returns the decayed weight of the samples.
    pub fn weight(&self, now: Time) -> f64 {
        self.weight * 0.5_f64.powf(now.secs_since(self.at) / self.limits.half_life_s)
    }
}
