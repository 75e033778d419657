//! Marks of members that are leaving.

use serde::{Deserialize, Serialize};

use crate::membership::Incarnation;

/// Source of the information that a member is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeavingCause {
    /// The process itself, on graceful shutdown.
    Announced,
    /// The platform's VM list.
    VmList,
    /// The operators' inventory.
    Inventory,
}

/// Marks an incarnation of a member as leaving, irrevocably.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingMark {
    /// Name of the member.
    #[serde(rename = "n")]
    pub name: String,
    /// Incarnation that is leaving.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// First source of the information.
    #[serde(rename = "c")]
    pub cause: LeavingCause,
}
