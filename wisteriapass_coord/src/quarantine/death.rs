//! The death of a target that had a request in flight.

use super::Incarnation;

/// The death of a target, as recorded for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Death {
    /// When it was first noticed, in milliseconds; negative if before this process started.
    pub at: i64,
    /// The target.
    pub incarnation: Incarnation,
    /// Whether it doesn't count: it has another cause, or the request has completed since.
    pub is_excluded: bool,
    /// Whether this process has decided that already, so that it need not be examined again.
    pub is_classified: bool,
}

impl Death {
    /// Merges another table's record of the same death; returns whether this changes anything worth
    /// reporting.
    ///
    /// The earliest time wins: each transfer between tables makes a death look more recent.
    pub fn join(&mut self, other: &Self) -> bool {
        self.at = self.at.min(other.at);
        let has_changed = other.is_excluded && !self.is_excluded;
        self.is_excluded |= other.is_excluded;
        has_changed
    }
}
