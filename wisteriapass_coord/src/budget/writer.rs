//! What a record remembers of one writer.

use serde::{Deserialize, Serialize};

use crate::budget::Grant;

/// A writer's last operation, by which a lost answer is recognised.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriterEntry {
    /// Number of its last operation.
    pub seq: u64,
    /// What that operation granted.
    pub grants: Vec<Grant>,
    /// Whether it was fenced.
    pub fenced: bool,
    /// Running number of its end among the record's ended writers.
    pub ended: Option<u64>,
}
