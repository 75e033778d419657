//! Load of a target as received by a router.

use wisteriapass_coord::membership::{Announcement, Incarnation};

use crate::prelude::*;
use crate::rpc::TargetLoad;

/// Load of a target, with the time of its measurement on this process's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedLoad {
    /// Name of the target.
    pub target: String,
    /// Incarnation of the side process that reported it.
    pub incarnation: Incarnation,
    /// Time of the measurement.
    pub measured_at: Instant,
    /// Reported load.
    pub load: TargetLoad,
}

impl ReceivedLoad {
    /// Creates the load from an answer that a side process just sent.
    ///
    /// The time is computed from the reported age, so the clocks need not agree. The transmission
    /// time of the answer is ignored.
    pub fn new(from: &Announcement, load: TargetLoad, now: Instant) -> Self {
        let age = Duration::from_millis(load.age_ms.into());
        Self {
            target: from.name.clone(),
            incarnation: from.incarnation,
            measured_at: now.checked_sub(age).unwrap_or(now),
            load,
        }
    }
}
