//! Keys, revisions and leases of the key-value service.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Revision of a key: the write counter of the service at the last write of the key.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Revision of a key that does not exist.
    pub const ABSENT: Self = Self(0);
}

/// Identifier of a lease.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// Key with its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Key, `/`-separated.
    pub key: String,
    /// Value: text of at most one megabyte.
    pub value: String,
    /// Revision of the last write.
    pub revision: Revision,
}
