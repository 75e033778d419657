//! Bands of slowness, for metrics.

use derive_more::Display;
use wisteriapass_policy::target_speed::SLOW_FACTOR;

/// Band of a target's lasting factor.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum SpeedBand {
    /// Faster than usual.
    #[display("fast")]
    Fast,
    /// As fast as usual.
    #[display("usual")]
    Usual,
    /// Slower than usual.
    #[display("slower")]
    Slower,
    /// From the factor at which it is logged as slow.
    #[display("slow")]
    Slow,
}

impl SpeedBand {
    /// All bands.
    pub const ALL: [Self; 4] = [Self::Fast, Self::Usual, Self::Slower, Self::Slow];

    /// Returns the band of a factor.
    pub fn of(factor: f64) -> Self {
        match factor {
            f if f >= SLOW_FACTOR => Self::Slow,
            f if f > 1.0 => Self::Slower,
            f if f < 1.0 => Self::Fast,
            _ => Self::Usual,
        }
    }
}
