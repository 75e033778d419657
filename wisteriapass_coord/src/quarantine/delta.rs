//! Messages by which the quarantine tables of two processes update each other.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::{Fingerprint, Incarnation};

/// A position in the change sequence of a quarantine table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Id of the process that owns the table; differs for each start.
    pub process: u64,
    /// Sequence number of the last known change; 0 if none is known.
    pub seq: u64,
}

/// A target death as sent between processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeathRecord {
    /// Incarnation of the target that died.
    pub incarnation: Incarnation,
    /// Time since the death, in milliseconds.
    pub age_ms: u64,
    /// Whether the death does not count.
    pub is_excluded: bool,
}

/// The deaths recorded for a fingerprint, as sent between processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FingerprintDeaths {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Targets that died while a request with the fingerprint was in flight there.
    pub deaths: SmallVec<[DeathRecord; 2]>,
}

/// Changes of a quarantine table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineDelta {
    /// The position after these changes.
    pub cursor: Cursor,
    /// Whether more changes follow.
    pub has_more: bool,
    /// The changed fingerprints, each with all of its deaths.
    pub histories: Vec<FingerprintDeaths>,
}
