//! Messages by which one table updates another.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::{Fingerprint, Incarnation};

/// A position in the change sequence of a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// The process that owns the table.
    pub process: u64,
    /// Sequence number of the last known change; 0 if none is known.
    pub seq: u64,
}

/// A target death as sent between tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeathRecord {
    /// The target.
    pub incarnation: Incarnation,
    /// Time since the death, in milliseconds.
    pub age_ms: u64,
    /// Whether it doesn't count against the request.
    pub is_excluded: bool,
}

/// The deaths recorded for a request, as sent between tables.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestDeaths {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Targets that died while the request was in flight there.
    pub deaths: SmallVec<[DeathRecord; 2]>,
}

/// Changes of a table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineDelta {
    /// The position after these changes.
    pub cursor: Cursor,
    /// Whether more changes follow.
    pub has_more: bool,
    /// The requests that changed.
    pub requests: Vec<RequestDeaths>,
}
