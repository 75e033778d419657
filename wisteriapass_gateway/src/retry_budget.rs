//! The repeats that this router may send, as its part of what all routers may.

use tokio::time::Instant;

use crate::settings::Bounds;

/// Part of the bound that is used: routers come and go, and count the same window apart.
const CAUTION: f64 = 0.85;

/// Routers that are reckoned with before others were seen.
const ROUTERS_UNKNOWN: usize = 8;

/// A bucket of repeats: requests fill it, repeats empty it.
///
/// In any window at most its size and the share of the requests of that window can go out, so the
/// sum over all routers keeps the bound.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    left: f64,
    refill_per_s: f64,
    at: Instant,
}

impl RetryBudget {
    /// Creates a bucket that is half full: the process before may have emptied its own just now.
    pub fn new(bounds: &Bounds, now: Instant) -> Self {
        let slack = bounds.retry_slack * CAUTION;
        Self {
            ratio: bounds.retry_ratio * CAUTION,
            slack,
            left: slack / 4.0 / ROUTERS_UNKNOWN as f64,
            refill_per_s: slack * 500.0 / bounds.retry_window_ms.max(1) as f64,
            at: now,
        }
    }

    /// Counts a request.
    pub fn earn(&mut self, routers: usize) {
        let most = self.most(routers);
        self.left = (self.left + self.ratio).min(most);
    }

    /// Takes one repeat, if there is one.
    pub fn take(&mut self, now: Instant, routers: usize) -> bool {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        let routers_f = routers.max(1) as f64;
        let most = self.most(routers);
        self.left = (self.left + passed * self.refill_per_s / routers_f).min(most);
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }

    /// Returns the size: half of the slack, as the other half refills with time.
    fn most(&self, routers: usize) -> f64 {
        (self.slack / 2.0 / routers.max(1) as f64).max(1.0)
    }
}
