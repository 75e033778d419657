//! A target's load as its side process tells it to routers.

use serde::{Deserialize, Serialize};

/// Load of a target at one time, in requests.
///
/// On the wire it is a list of five numbers in the order of the fields: it goes with every
/// heartbeat of a router, whose bytes a second are bounded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u32; 5]", into = "[u32; 5]")]
pub struct TargetLoad {
    /// Requests being worked on.
    pub running: u32,
    /// Requests that wait at the target.
    pub queued: u32,
    /// How many of both are interactive.
    pub interactive: u32,
    /// How many of both came from the router that is told.
    pub of_receiver: u32,
    /// Time since it was taken, in milliseconds.
    pub age_ms: u32,
}

impl From<[u32; 5]> for TargetLoad {
    fn from([running, queued, interactive, of_receiver, age_ms]: [u32; 5]) -> Self {
        Self {
            running,
            queued,
            interactive,
            of_receiver,
            age_ms,
        }
    }
}

impl From<TargetLoad> for [u32; 5] {
    fn from(load: TargetLoad) -> Self {
        [
            load.running,
            load.queued,
            load.interactive,
            load.of_receiver,
            load.age_ms,
        ]
    }
}
