//! Load reports of side processes about their targets.

use crate::Time;

/// Load of a target at one time. Reports may be late or missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Time of the measurement, on the receiving router's clock.
    pub taken_at: Time,
    /// Requests being processed.
    pub running: u32,
    /// Requests queued at the target.
    pub queued: u32,
    /// Interactive requests among the running and queued ones.
    pub interactive: u32,
    /// Requests of the receiving router among the running and queued ones.
    pub of_receiver: u32,
}
