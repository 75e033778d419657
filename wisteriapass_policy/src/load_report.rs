//! What a side process says of its target's load.

use crate::Time;

/// Load of a target at one time; late and with gaps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// When it was taken, on the receiving router's clock.
    pub taken_at: Time,
    /// Requests being worked on.
    pub running: u32,
    /// Requests that wait at the target.
    pub queued: u32,
    /// How many of both are interactive.
    pub interactive: u32,
    /// How many of both came from the router that receives this.
    pub of_receiver: u32,
}
