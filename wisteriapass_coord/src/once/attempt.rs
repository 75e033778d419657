//! Attempt numbers.

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

/// Number of an attempt at a run, starting at one.
///
/// Once an attempt is withdrawn, neither it nor any earlier one can begin.
#[derive(
    Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Attempt(pub u32);

impl Attempt {
    /// The first attempt.
    pub const FIRST: Self = Self(1);

    /// Returns the number of the next attempt.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}
