//! Configuration revisions.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Number of an accepted configuration edit. It only increases; 0 is the empty configuration.
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
pub struct ConfigRevision(pub u64);

impl ConfigRevision {
    /// Revision of a fleet whose configuration has never been edited.
    pub const NONE: Self = Self(0);

    /// Returns the revision that the next edit creates.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
