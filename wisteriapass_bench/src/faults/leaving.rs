//! Tracks which targets are told to leave, and since when.

use std::collections::BTreeMap;

use super::observations::LeavingPeriod;

/// Why a target has to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum LeaveReason {
    /// It is drained in the inventory.
    Drained,
    /// The VM list marks its VM as leaving.
    VmLeaving,
}

/// Targets that are leaving, and past periods in which targets were.
#[derive(Debug, Default)]
pub(super) struct LeavingTracker {
    /// Overlapping faults may tell the same target to leave for the same reason.
    active: BTreeMap<(String, LeaveReason), ActiveLeave>,
    past: Vec<LeavingPeriod>,
}

/// A target that is told to leave.
#[derive(Clone, Copy, Debug)]
struct ActiveLeave {
    /// Number of faults in effect that tell it to leave.
    faults: usize,
    /// Start of the first of them, in microseconds since the history began.
    from_us: u64,
}

impl LeavingTracker {
    /// Records that a fault tells a target to leave from `from_us` on.
    pub fn begin(&mut self, target: &str, reason: LeaveReason, from_us: u64) {
        let key = (target.to_owned(), reason);
        let leave = self
            .active
            .entry(key)
            .or_insert(ActiveLeave { faults: 0, from_us });
        leave.faults += 1;
    }

    /// Records that such a fault ends; returns whether it was the last, so that the target may
    /// return to service.
    pub fn end(&mut self, target: &str, reason: LeaveReason, until_us: u64) -> bool {
        let key = (target.to_owned(), reason);
        let Some(leave) = self.active.get_mut(&key) else {
            return false;
        };
        leave.faults -= 1;
        if leave.faults > 0 {
            return false;
        }
        self.past.push(LeavingPeriod {
            target: target.into(),
            from_us: leave.from_us,
            until_us,
        });
        self.active.remove(&key);
        true
    }

    /// Returns the periods that have ended.
    pub fn past(&self) -> &[LeavingPeriod] {
        &self.past
    }
}
