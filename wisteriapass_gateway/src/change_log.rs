//! What this router knows of configuration and targets, and since which revision: so that a relay
//! can tell its followers just what changed, and a follower that becomes a relay goes on from there.

mod configuration_log;
mod target_log;

pub use configuration_log::ConfigurationLog;
pub use target_log::{TargetChange, TargetChangeSet, TargetLog};

use serde::{Deserialize, Serialize};

/// From where to go on following a topic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Revision up to which all changes are known; 0 if nothing is.
    pub revision: u64,
    /// Bytes of the service's answer that holds the whole state.
    pub snapshot_bytes: usize,
}
