//! A point in time on the router's monotonic clock.

use derive_more::Display;

/// Microseconds since an origin chosen by the caller.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0} µs")]
pub struct Time(pub u64);

impl Time {
    /// The latest possible time.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates a time from milliseconds since the origin.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Creates a time from seconds since the origin.
    pub const fn from_secs(s: u64) -> Self {
        Self(s * 1_000_000)
    }

    /// Returns the time `secs` seconds later; negative values go back, at most to the origin.
    pub fn plus_secs(self, secs: f64) -> Self {
        if self == Self::MAX {
            return self;
        }
        if secs < 0.0 {
            return Self(self.0.saturating_sub((-secs * 1e6) as u64));
        }
        Self(self.0.saturating_add((secs * 1e6) as u64))
    }

    /// Returns the time `ms` milliseconds later.
    pub fn plus_millis(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms.saturating_mul(1_000)))
    }

    /// Returns the milliseconds since `earlier`, or zero if it is not earlier.
    pub fn millis_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0) / 1_000
    }

    /// Returns the seconds since `earlier`, or zero if it is not earlier.
    pub fn secs_since(self, earlier: Self) -> f64 {
        self.0.saturating_sub(earlier.0) as f64 / 1e6
    }
}
