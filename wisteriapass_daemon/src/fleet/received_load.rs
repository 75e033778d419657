//! A target's load as a router heard it.

use wisteriapass_coord::membership::{Announcement, Incarnation};

use crate::prelude::*;
use crate::rpc::TargetLoad;

/// Load of a target, with the time it was taken on this process's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedLoad {
    /// Name of the target.
    pub target: String,
    /// Which start of its side process said so.
    pub incarnation: Incarnation,
    /// When it was taken.
    pub measured_at: Instant,
    /// The load.
    pub load: TargetLoad,
}

impl ReceivedLoad {
    /// Creates it from what a side process answered just now.
    ///
    /// The way back counts as no time, and clocks need not agree.
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
