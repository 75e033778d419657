//! The standing that a router has from a coordinator.

use serde::{Deserialize, Serialize};

use super::Standing;

/// The standing that a router has from a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldStanding {
    /// The standing.
    pub standing: Standing,
    /// Time for which it remains valid, in milliseconds.
    pub valid_ms: u64,
}
