//! Classes of a pool that found no room, until something changes.
//!
//! Answers saturation, where nearly every call would look for room in vain. Without it each offer
//! and each poll compares all targets again (`loads --cost`). Room comes from runs that end, from
//! reports, from changed targets, and from time, as reports age and avoided targets come back; time
//! counts after [`LOOK_AGAIN_S`], well below what a caller notices.

use crate::Time;
use crate::fair_queue::Blocked;

/// Time after which room is looked for again although nothing happened, in seconds.
const LOOK_AGAIN_S: f64 = 0.02;

/// Classes that found no room, when, and after how many changes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Stuck {
    classes: Blocked,
    at: Time,
    changes: u64,
}

impl Stuck {
    /// Notes which classes found no room.
    pub(crate) fn new(classes: Blocked, at: Time, changes: u64) -> Self {
        Self {
            classes,
            at,
            changes,
        }
    }

    /// Returns the classes for which it is not worth looking again.
    pub(crate) fn classes(&self, now: Time, changes: u64) -> Blocked {
        if changes != self.changes || now.secs_since(self.at) >= LOOK_AGAIN_S {
            return Blocked::default();
        }
        self.classes
    }
}
