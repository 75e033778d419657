//! Classes of a pool that found no room, until something changes.
//!
//! Answers saturation, where nearly every call would look for room in vain. Without it each offer
//! and each poll compares all targets again (`loads --cost`). Room comes from runs that end, from
//! reports, from changed targets, and from time, as reports age and avoided targets come back; time
//! counts after [`LOOK_AGAIN_S`], well below what a caller notices.

use crate::Time;
use crate::fair_queue::BlockedClasses;

/// Time after which room is looked for again although nothing happened, in seconds.
const RECHECK_S: f64 = 0.02;

/// Classes that found no room, when, and after how many changes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NoCapacityCache {
    classes: BlockedClasses,
    recorded_at: Time,
    change_count: u64,
}

impl NoCapacityCache {
    /// Notes which classes found no room.
    pub(crate) fn new(classes: BlockedClasses, recorded_at: Time, change_count: u64) -> Self {
        Self {
            classes,
            recorded_at,
            change_count,
        }
    }

    /// Returns the classes for which it is not worth looking again.
    pub(crate) fn classes(&self, now: Time, change_count: u64) -> BlockedClasses {
        if change_count != self.change_count || now.secs_since(self.recorded_at) >= RECHECK_S {
            return BlockedClasses::default();
        }
        self.classes
    }
}
