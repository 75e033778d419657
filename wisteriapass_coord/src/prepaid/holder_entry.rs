//! A router process as the holder of its VM's shares.

use std::net::SocketAddr;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;

use crate::prepaid::{NamedWitnesses, Opening, Stamp};

/// Name of the VM whose router holds a share. A successor on the same VM takes the share over.
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

/// Identifies a failure domain in records and messages; a hash of its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DomainId(u64);

impl DomainId {
    /// Creates the ID of the domain with this name.
    pub fn new(name: &str) -> Self {
        Self(XxHash64::oneshot(0, name.as_bytes()))
    }
}

/// The process that holds a VM's shares, and its last write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderEntry {
    /// Drawn at random when the process starts.
    pub process: u64,
    /// Sequence number of the last write of the process.
    pub write: u64,
    /// When that write was composed.
    pub stamp: Stamp,
    /// Whether the time of day agreed with that of the other routers.
    #[serde(default)]
    pub agreed: bool,
    /// Address at which the process lends shares to other routers, if it does.
    #[serde(default)]
    pub lends_at: Option<SocketAddr>,
    /// Witnesses that know how far the process may spend while it is out of contact with the store.
    #[serde(default)]
    pub witnesses: NamedWitnesses,
    /// Failure domain of the VM.
    #[serde(default)]
    pub domain: DomainId,
    /// Number of routers besides itself that it carries shares for.
    #[serde(default)]
    pub followers: u32,
    /// Whether its VM is one of those with enough capacity to carry the shares of others.
    #[serde(default)]
    pub is_strong: bool,
    /// When the sealed parts of its shares open.
    #[serde(default)]
    pub opening: Opening,
}
