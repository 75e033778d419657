//! What a process says of itself in every control message.

use serde::{Deserialize, Serialize};

use crate::membership::Incarnation;
use crate::revision::ConfigRevision;

/// What a member is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberRole {
    /// Takes requests from callers.
    Router,
    /// Runs them at the target beside it.
    Side,
}

/// A process's own word about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name, as in the inventory.
    pub name: String,
    /// VM, as the VM list names it.
    pub vm: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Router or side process.
    pub role: MemberRole,
    /// This start of the process.
    pub incarnation: Incarnation,
    /// Configuration revision it has in force.
    pub revision: ConfigRevision,
    /// Whether it is stopping and takes no new work.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}
