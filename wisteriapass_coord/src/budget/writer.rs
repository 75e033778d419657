//! State of a writer in a record.

use serde::{Deserialize, Serialize};

use crate::budget::Grant;

/// Last operation of a writer. It is kept to detect a repeat whose response was lost.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriterEntry {
    /// Sequence number of the last operation.
    pub seq: u64,
    /// Grants of that operation.
    pub grants: Vec<Grant>,
    /// Whether the writer has been fenced.
    pub fenced: bool,
    /// Sequence number of its end among the ended writers of the record.
    pub ended: Option<u64>,
}
