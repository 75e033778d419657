//! One process's time as holder of its VM's shares.

use std::net::SocketAddr;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;

use crate::prepaid::{NamedWitnesses, Stamp};

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

/// Identifies a failure domain in records and messages; made from its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DomainId(u64);

impl DomainId {
    /// Identifies the domain of this name.
    pub fn new(name: &str) -> Self {
        Self(XxHash64::oneshot(0, name.as_bytes()))
    }
}

/// Which process holds a VM's shares, and when it last wrote.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderEntry {
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
    pub witnesses: NamedWitnesses,
    /// Failure domain of the VM.
    #[serde(default)]
    pub domain: DomainId,
    /// Routers that it carries shares for, besides itself.
    #[serde(default)]
    pub followers: u32,
    /// Whether its VM is one of those that carry others' shares with ease.
    #[serde(default)]
    pub is_strong: bool,
}
