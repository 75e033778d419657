//! Budget of retries and hedges, earned by first attempts.
//!
//! Handles targets that fail under load. Without it every failure becomes another request, which
//! the remaining targets have to serve as well. Earning a share of each first attempt limits the
//! extra work to that share at any rate. The burst lets all runs of a single target move at once
//! when it fails. No load pattern shows a loss without it (`loads --pattern all --without
//! try_budget`), since runs in that model become silent and do not fail; the test
//! `retries_end_with_their_budget` shows the limit.

/// Retries and hedges that are currently allowed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    share: f64,
    burst: f64,
    credit: f64,
}

impl RetryBudget {
    /// Creates a full budget: `share` per first attempt, at most `burst` at once.
    pub(crate) fn new(share: f64, burst: f64) -> Self {
        Self {
            share,
            burst,
            credit: burst,
        }
    }

    /// Records a first attempt.
    pub(crate) fn record_first_try(&mut self) {
        self.credit = (self.credit + self.share).min(self.burst);
    }

    /// Spends one retry or hedge; returns whether the budget allowed it.
    pub(crate) fn try_spend(&mut self) -> bool {
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}
