//! What one book tells another.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::{Fingerprint, Incarnation};

/// Up to where a book is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Process whose book it is.
    pub process: u64,
    /// Number of its last change that is known; 0 is none.
    pub seq: u64,
}

/// A death as it is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeathRecord {
    /// The target.
    pub incarnation: Incarnation,
    /// How long ago, in milliseconds.
    pub age_ms: u64,
    /// Whether it does not count.
    pub is_excluded: bool,
}

/// A request as it is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestDeaths {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Targets that ended under it.
    pub deaths: SmallVec<[DeathRecord; 2]>,
}

/// Changes of a book.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineDelta {
    /// Up to where they lead.
    pub cursor: Cursor,
    /// Whether there are more behind that.
    pub has_more: bool,
    /// The requests that changed.
    pub requests: Vec<RequestDeaths>,
}
