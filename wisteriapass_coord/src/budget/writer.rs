//! State of a writer in a record.

use serde::{Deserialize, Serialize};

use crate::budget::Grant;

/// Last operation of a writer. It is kept to recognize an operation that the writer repeats because
/// the first response was lost.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriterEntry {
    /// Sequence number of the last operation.
    pub seq: u64,
    /// Grants of that operation.
    pub grants: Vec<Grant>,
    /// Whether the writer has been fenced.
    pub fenced: bool,
    /// Position in the order in which the writers of the record ended; `None` if it has not ended.
    pub ended: Option<u64>,
}
