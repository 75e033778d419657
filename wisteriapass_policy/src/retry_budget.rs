//! Budget of second tries (retries and hedges), earned by first tries.
//!
//! Answers targets that fail under load. Without it every failure becomes one more request, which
//! the targets that are left have to do as well. A share of first tries bounds the extra work to that
//! share at any rate; the burst lets a single target's runs move at once when it fails. No pattern
//! shows a loss without it (`loads --pattern all --without try_budget`), since in the model runs go
//! silent and do not fail; the test `retries_end_with_their_budget` shows the bound.

/// Second tries that may be made now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    share: f64,
    burst: f64,
    credit: f64,
}

impl RetryBudget {
    /// Creates a full budget: `share` of first tries, at most `burst` at once.
    pub(crate) fn new(share: f64, burst: f64) -> Self {
        Self {
            share,
            burst,
            credit: burst,
        }
    }

    /// Counts a first try.
    pub(crate) fn record_first_try(&mut self) {
        self.credit = (self.credit + self.share).min(self.burst);
    }

    /// Takes one second try out; returns whether there was one.
    pub(crate) fn try_spend(&mut self) -> bool {
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}
