//! Timeouts for members that are silent.

use std::time::Duration;

/// Durations of silence after which a member is suspect and then gone.
///
/// The first timeout is short, because a suspect member merely gets no new work until it is heard
/// from again. Declaring a member gone starts fencing, which strands money, so the second timeout
/// is longer than almost any pause of a live VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Silence after which a member is suspect; a few heartbeats.
    pub suspect_after: Duration,
    /// Silence after which a member is gone.
    pub gone_after: Duration,
    /// Time for which a new leaving mark is relayed.
    pub relay_for: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            suspect_after: Duration::from_secs(3),
            gone_after: Duration::from_secs(30),
            relay_for: Duration::from_secs(30),
        }
    }
}

impl Timeouts {
    /// Returns timeouts for a heartbeat period, which tolerate three late heartbeats before
    /// suspicion.
    pub fn for_heartbeat_period(period: Duration) -> Self {
        let default = Self::default();
        Self {
            suspect_after: default.suspect_after.max(period * 3),
            gone_after: default.gone_after.max(period * 10),
            ..default
        }
    }
}
