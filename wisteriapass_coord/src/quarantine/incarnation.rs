//! One start of a target.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;

/// Names one start of a target.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
#[display("{_0:x}")]
pub struct Incarnation(u64);

impl Incarnation {
    /// Returns the name of the start that a target says it is: by its id and when it was born.
    pub fn new(id: &str, born: Option<u64>) -> Self {
        Self(XxHash64::oneshot(born.unwrap_or_default(), id.as_bytes()))
    }
}
