//! Timestamps, which callers pass in.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Milliseconds since the Unix epoch, or since an arbitrary origin in tests.
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
#[display("{_0} ms")]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the time `ms` milliseconds later.
    #[must_use]
    pub fn plus(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Returns the milliseconds elapsed since `earlier`, or 0 if `earlier` is in the future.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
