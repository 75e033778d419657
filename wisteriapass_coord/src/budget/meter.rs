//! Measured draw of a budget.

use crate::Millis;
use crate::budget::Tokens;

/// Time over which the draw is averaged, in milliseconds.
///
/// Long enough that a request now and then does not empty and fill a router each time, short enough
/// that a router which lost its callers gives its money back within minutes.
const WINDOW_MS: f64 = 180_000.0;

/// Exponential average of the tokens drawn a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsageMeter {
    level: f64,
    at: Millis,
}

impl UsageMeter {
    /// Creates a meter that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts tokens drawn at `now`.
    pub fn add(&mut self, amount: Tokens, now: Millis) {
        self.level = self.level_at(now) + amount.0 as f64;
        self.at = self.at.max(now);
    }

    /// Takes back tokens counted before, which were not used after all.
    pub fn deduct(&mut self, amount: Tokens) {
        self.level = (self.level - amount.0 as f64).max(0.0);
    }

    /// Returns the tokens drawn a second at `now`.
    pub fn per_second(&self, now: Millis) -> Tokens {
        Tokens((self.level_at(now) * 1_000.0 / WINDOW_MS) as u64)
    }

    fn level_at(&self, now: Millis) -> f64 {
        let age_ms = now.since(self.at) as f64;
        self.level * (-age_ms / WINDOW_MS).exp()
    }
}
