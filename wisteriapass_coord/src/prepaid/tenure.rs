//! One process's time as holder of its VM's shares.

use std::net::SocketAddr;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::prepaid::{Named, Stamp};

/// Name of the VM whose router holds a share; a successor on the VM takes it over.
#[derive(
    Clone,
    Debug,
    Default,
    Display,
    From,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct HolderId(pub String);

/// Which process holds a VM's shares, and when it last wrote.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenure {
    /// Drawn at the start of the process.
    pub process: u64,
    /// Number of the process's last write.
    pub write: u64,
    /// When that write was composed.
    pub stamp: Stamp,
    /// Whether the time of day agreed with that of the other routers.
    #[serde(default)]
    pub agreed: bool,
    /// Where the process lends shares to other routers, if it does.
    #[serde(default)]
    pub lends_at: Option<SocketAddr>,
    /// Who knows how far the process may spend while it is out of touch.
    #[serde(default)]
    pub witnesses: Named,
}
