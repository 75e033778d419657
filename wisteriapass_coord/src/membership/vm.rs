//! Entries of the platform's VM list.

use serde::{Deserialize, Serialize};

/// State of a VM in the platform's VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// Running.
    Live,
    /// About to be removed by the platform.
    Leaving,
    /// Removed by the platform for good.
    Gone,
}

/// A VM in the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Name of the VM.
    pub vm: String,
    /// State of the VM.
    pub state: VmState,
}
