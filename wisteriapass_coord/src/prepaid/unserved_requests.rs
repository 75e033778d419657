//! Requests that a share did not cover.

/// Requests that a share did not cover.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UnservedRequests {
    /// The largest one, in tokens.
    pub(super) largest: u64,
    /// Sum of those that were noted, in tokens.
    sum: u64,
}

impl UnservedRequests {
    /// Notes a request that the share did not cover.
    pub(super) fn note(&mut self, max_cost: u64) {
        self.largest = self.largest.max(max_cost);
        self.sum = self.sum.saturating_add(max_cost);
    }

    /// Returns how much covers all of them, in tokens.
    pub(super) fn tokens(self) -> u64 {
        self.largest.max(self.sum)
    }

    /// Returns these and other requests.
    pub(super) fn and(self, others: Self) -> Self {
        Self {
            largest: self.largest.max(others.largest),
            sum: self.sum.saturating_add(others.sum),
        }
    }
}
