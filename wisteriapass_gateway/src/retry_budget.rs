//! Retry budget of one router: its part of the bound on the retries of all routers.

use tokio::time::Instant;

use crate::settings::Bounds;

/// Fraction of the bound that is used, because routers join and leave, and their windows are not
/// aligned.
const SAFETY_FACTOR: f64 = 0.85;

/// Number of routers assumed until others were seen.
const ASSUMED_ROUTERS: usize = 8;

/// A token bucket for retries: requests fill it, and each retry takes a token.
///
/// In any window a router sends at most its capacity and the ratio of the window's requests as
/// retries, so the sum over all routers stays within the bound.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    tokens: f64,
    refill_per_s: f64,
    refilled_at: Instant,
}

impl RetryBudget {
    /// Creates a half-full bucket: the previous process may just have emptied its own.
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

    /// Counts a request, which adds a fraction of a token.
    pub fn record_request(&mut self, routers: usize) {
        let capacity = self.capacity(routers);
        self.tokens = (self.tokens + self.ratio).min(capacity);
    }

    /// Takes a token for one retry, if available.
    pub fn try_take(&mut self, now: Instant, routers: usize) -> bool {
        let elapsed_s = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.refilled_at = now;
        let router_count = routers.max(1) as f64;
        let capacity = self.capacity(routers);
        self.tokens = (self.tokens + elapsed_s * self.refill_per_s / router_count).min(capacity);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the capacity: half of the slack, as the other half is refilled over time.
    fn capacity(&self, routers: usize) -> f64 {
        (self.slack / 2.0 / routers.max(1) as f64).max(1.0)
    }
}
