//! Measures the usage of a budget.

use crate::Millis;
use crate::budget::Tokens;

/// Time constant of the average, in milliseconds.
///
/// It is long enough that occasional requests do not make a router return and request tokens each
/// time, and short enough that a router without requests returns its tokens within minutes.
const TIME_CONSTANT_MS: f64 = 180_000.0;

/// Exponentially weighted average of the tokens used per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsageMeter {
    weighted_sum: f64,
    updated_at: Millis,
}

impl UsageMeter {
    /// Creates a meter without recorded usage.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds tokens reserved at `now`.
    pub fn add(&mut self, amount: Tokens, now: Millis) {
        self.weighted_sum = self.decayed_at(now) + amount.0 as f64;
        self.updated_at = self.updated_at.max(now);
    }

    /// Deducts tokens that were reserved but not used.
    pub fn deduct(&mut self, amount: Tokens) {
        self.weighted_sum = (self.weighted_sum - amount.0 as f64).max(0.0);
    }

    /// Returns the usage at `now`, in tokens per second.
    pub fn per_second(&self, now: Millis) -> Tokens {
        Tokens((self.decayed_at(now) * 1_000.0 / TIME_CONSTANT_MS) as u64)
    }

    fn decayed_at(&self, now: Millis) -> f64 {
        let age_ms = now.since(self.updated_at) as f64;
        self.weighted_sum * (-age_ms / TIME_CONSTANT_MS).exp()
    }
}
