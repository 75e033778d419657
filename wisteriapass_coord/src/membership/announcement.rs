//! Description of a process that it sends in its control messages.

use serde::{Deserialize, Serialize};

use crate::membership::Incarnation;
use crate::revision::ConfigRevision;

/// Role of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberRole {
    /// Takes requests from callers.
    Router,
    /// Runs requests at the target beside it.
    Side,
}

/// A process's description of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the process, as in the inventory.
    pub name: String,
    /// Name of the VM, as in the VM list.
    pub vm: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Router or side process.
    pub role: MemberRole,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Configuration revision that the process has in force.
    pub revision: ConfigRevision,
    /// Whether the process is shutting down and accepts no new work.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}
