//! The mark of a router in messages.

use serde::{Deserialize, Serialize};

/// The last mark of a router, relative to the time of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MarkAge {
    /// Time since the router was marked, in milliseconds.
    pub age_ms: u64,
    /// Duration of the mark, in milliseconds; the mark has ended if it is shorter than the age.
    pub length_ms: u64,
}
