//! One start of a target.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;

/// Identifies one start of a target.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
#[display("{_0:x}")]
pub struct Incarnation(u64);

impl Incarnation {
    /// Derives the incarnation from the target's id and start time, as the target reports them.
    pub fn new(id: &str, started: Option<u64>) -> Self {
        Self(XxHash64::oneshot(
            started.unwrap_or_default(),
            id.as_bytes(),
        ))
    }
}
