//! Recent changes of the configuration and the targets with their revisions. A relay sends its
//! followers only what changed, and a follower that becomes a relay continues at the same position.

mod configuration_log;
mod target_log;

pub use configuration_log::ConfigurationLog;
pub use target_log::{TargetChange, TargetChangeSet, TargetLog};

use serde::{Deserialize, Serialize};

/// Position from which to continue to watch a topic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Revision up to which all changes are known; 0 if none is.
    pub revision: u64,
    /// Size of the store's answer with the full state, in bytes.
    pub snapshot_bytes: usize,
}
