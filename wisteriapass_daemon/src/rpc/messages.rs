//! Messages of the control calls.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use wisteriapass_coord::membership::{Announcement, Digest, Incarnation};

use crate::rpc::TargetLoad;

/// What a process is.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes requests from callers.
    #[display("router")]
    Router,
    /// Runs them at the target beside it.
    #[display("side")]
    Side,
}

/// What a process says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name in the inventory.
    pub name: String,
    /// What it is.
    pub role: Role,
    /// Incarnation of the process.
    pub incarnation: String,
    /// Revision of the configuration in force.
    pub revision: u64,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Requests or runs it works on.
    pub working: u64,
}

/// What a process says to its partners, again and again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's word about itself.
    pub from: Announcement,
    /// Leaving marks that the sender relays.
    #[serde(default)]
    pub marks: Digest,
}

/// Answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatAnswer {
    /// The answering process's word about itself.
    pub from: Announcement,
    /// Whether it serves, so that its revision counts for a fresh process.
    pub is_ready: bool,
    /// The newer incarnation that bears the caller's name, if one does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub superseded: Option<Incarnation>,
    /// Leaving marks that it relays.
    #[serde(default)]
    pub marks: Digest,
    /// Load of the target beside a side process that answers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<TargetLoad>,
}
