//! Load of a target, as its side process reports it to routers.

use serde::{Deserialize, Serialize};

/// Load of a target at one time, in requests.
///
/// On the wire it is an array of the five numbers in the order of the fields. The compact form
/// matters because it is part of every heartbeat answer, whose bytes per second are limited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u32; 5]", into = "[u32; 5]")]
pub struct TargetLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued at the target.
    pub queued: u32,
    /// Number of interactive requests among both.
    pub interactive: u32,
    /// Number of requests among both that came from the router receiving this report.
    pub of_receiver: u32,
    /// Age of the measurement, in milliseconds.
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
