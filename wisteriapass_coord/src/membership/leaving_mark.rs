//! The word that a member is leaving.

use serde::{Deserialize, Serialize};

use crate::membership::Incarnation;

/// Who said that a member is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeavingCause {
    /// The process itself, on its graceful stop.
    Announced,
    /// The platform's VM list.
    VmList,
    /// The operators' inventory.
    Inventory,
}

/// One incarnation of a member is leaving; never undone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingMark {
    /// Name of the member.
    #[serde(rename = "n")]
    pub name: String,
    /// The incarnation that leaves.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Who said so first.
    #[serde(rename = "c")]
    pub cause: LeavingCause,
}
