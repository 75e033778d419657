//! The repeats that this router may send, as its part of what all routers may.

use tokio::time::Instant;

use crate::settings::Bounds;

/// Part of the bound that is used: routers come and go, and count the same window apart.
const SAFETY_FACTOR: f64 = 0.85;

/// Routers that are reckoned with before others were seen.
const ASSUMED_ROUTERS: usize = 8;

/// A bucket of repeats: requests fill it, repeats empty it.
///
/// In any window at capacity its size and the share of the requests of that window can go out, so the
/// sum over all routers keeps the bound.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    tokens: f64,
    refill_per_s: f64,
    refilled_at: Instant,
}

impl RetryBudget {
    /// Creates a bucket that is half full: the process before may have emptied its own just now.
    pub fn new(bounds: &Bounds, now: Instant) -> Self {
        let slack = bounds.retry_slack * SAFETY_FACTOR;
        Self {
            ratio: bounds.retry_ratio * SAFETY_FACTOR,
            slack,
            tokens: slack / 4.0 / ASSUMED_ROUTERS as f64,
            refill_per_s: slack * 500.0 / bounds.retry_window_ms.max(1) as f64,
            refilled_at: now,
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, routers: usize) {
        let capacity = self.capacity(routers);
        self.tokens = (self.tokens + self.ratio).min(capacity);
    }

    /// Takes one repeat, if there is one.
    pub fn try_take(&mut self, now: Instant, routers: usize) -> bool {
        let passed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.refilled_at = now;
        let routers_f = routers.max(1) as f64;
        let capacity = self.capacity(routers);
        self.tokens = (self.tokens + passed * self.refill_per_s / routers_f).min(capacity);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the size: half of the slack, as the other half refills with time.
    fn capacity(&self, routers: usize) -> f64 {
        (self.slack / 2.0 / routers.max(1) as f64).max(1.0)
    }
}
