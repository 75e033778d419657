//! Messages of the control calls.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use wisteriapass_coord::membership::{Announcement, Incarnation, MarkDigest};

use crate::rpc::TargetLoad;

/// Role of a process.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessRole {
    /// Accepts requests from callers.
    #[display("router")]
    Router,
    /// Runs requests at its target.
    #[display("side")]
    Side,
}

/// Status that a process reports about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// Name in the inventory.
    pub name: String,
    /// Role of the process.
    pub role: ProcessRole,
    /// Incarnation of the process.
    pub incarnation: String,
    /// Revision of the configuration in force.
    pub revision: u64,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Number of active requests or runs.
    pub working: u64,
}

/// Message that a process sends to its partners periodically.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Announcement of the sender.
    pub from: Announcement,
    /// Leaving marks relayed by the sender.
    #[serde(default)]
    pub marks: MarkDigest,
}

/// Answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatAnswer {
    /// Announcement of the answering process.
    pub from: Announcement,
    /// Whether the answering process is ready, so that a newly started process may rely on its
    /// revision.
    pub is_ready: bool,
    /// Newer incarnation with the sender's name, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub superseded: Option<Incarnation>,
    /// Leaving marks relayed by the answering process.
    #[serde(default)]
    pub marks: MarkDigest,
    /// Load of the target, if a side process answers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<TargetLoad>,
}
