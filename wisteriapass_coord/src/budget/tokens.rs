//! Amounts of prepaid tokens.

use derive_more::{Add, AddAssign, Display, From, Sub, SubAssign, Sum};
use serde::{Deserialize, Serialize};

/// Amount of tokens.
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
    Add,
    AddAssign,
    From,
    Sub,
    SubAssign,
    Sum,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl Tokens {
    /// No tokens.
    pub const ZERO: Self = Self(0);

    /// Returns whether the amount is zero.
    pub fn is_zero(self) -> bool {
        self == Self::ZERO
    }

    /// Returns `self - other`, or zero if that is negative.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns `self + other`, or the maximum if that overflows.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns `self + other`, or `None` if that overflows.
    pub fn checked_add(self, other: Self) -> Option<Self> {
        self.0.checked_add(other.0).map(Self)
    }
}
