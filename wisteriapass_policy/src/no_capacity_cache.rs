//! Caches which classes of a pool found no capacity, until something changes.
//!
//! Handles saturation, where nearly every search for capacity fails. Without it each offer and each
//! poll would compare all targets again (`loads --cost`). Capacity is freed by finished runs, by
//! reports, by changed targets, and over time as reports age and avoided targets re-enter. The
//! cache therefore also expires after [`RECHECK_S`], well below what a caller notices.

use crate::Time;
use crate::fair_queue::BlockedClasses;

/// Time after which capacity is searched again even without a change, in seconds.
const RECHECK_S: f64 = 0.02;

/// Classes that found no capacity, with the time and the change count of that search.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NoCapacityCache {
    classes: BlockedClasses,
    recorded_at: Time,
    change_count: u64,
}

impl NoCapacityCache {
    pub(crate) fn new(classes: BlockedClasses, recorded_at: Time, change_count: u64) -> Self {
        Self {
            classes,
            recorded_at,
            change_count,
        }
    }

    /// Returns the classes that need no new search.
    pub(crate) fn classes(&self, now: Time, change_count: u64) -> BlockedClasses {
        if change_count != self.change_count || now.secs_since(self.recorded_at) >= RECHECK_S {
            return BlockedClasses::default();
        }
        self.classes
    }
}
