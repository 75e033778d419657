//! The platform's VM list.

use serde::{Deserialize, Serialize};

/// State of a VM on the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// Runs.
    Live,
    /// Will be taken away.
    Leaving,
    /// Was taken away and never comes back.
    Gone,
}

/// One VM on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Name of the VM.
    pub vm: String,
    /// What the list says of it.
    pub state: VmState,
}
