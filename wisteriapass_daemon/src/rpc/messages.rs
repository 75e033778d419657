//! Messages of the control calls.

use derive_more::Display;
use serde::{Deserialize, Serialize};

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
