//! Phases of a router process.

use serde::{Deserialize, Serialize};

/// Phase of a router process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It does not know its configuration or targets yet.
    Starting,
    /// It can serve callers.
    Running,
    /// It was told to stop.
    Stopping,
}
