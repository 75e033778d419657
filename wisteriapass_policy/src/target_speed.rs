//! How slow each target is, learned from what routers observe anyway.
//!
//! Handles targets of one service that differ in speed, lastingly (other hardware, a throttled
//! processor) or for fractions of a second. Placement by tokens alone gives a slow target as much
//! as the others, and its requests miss their latency goals while others are idle.
//!
//! A [`ServiceModel`] predicts the time to the first event and the time per output token from the
//! load that this router knows. A [`TargetSpeed`] compares what it observes at one target with the
//! prediction. The ratio, and not the time, is what counts, so that a target which is loaded but not
//! slow is not taken for a slow one. Factors are relative to the median over the targets of the
//! service: if all become slower at the same time, no factor changes.

mod evidence;
mod load_fit;
mod report;
mod service_model;
mod speed;

pub use report::SpeedReport;
pub use service_model::{FirstEvent, OutputPause, ServiceModel};
pub use speed::TargetSpeed;

/// Lower limit of a slowness factor.
pub const MIN_FACTOR: f64 = 0.5;

/// Upper limit of a slowness factor.
pub const MAX_FACTOR: f64 = 6.0;

/// Difference from 1.0 up to which a factor counts as 1.0. The factors of equally fast targets
/// differ by a few percent from noise alone.
pub const NEUTRAL_BAND: f64 = 0.1;

/// Lasting factor from which a target counts as slow in logs and metrics, and ratio of two lasting
/// factors from which the slower home of a shared prompt part is skipped.
pub const SLOW_FACTOR: f64 = 1.5;

/// Age from which another router's report is ignored, in milliseconds: several exchanges.
pub const MAX_REPORT_AGE_MS: u64 = 2_000;

/// Half-life of the evidence for a lasting factor, in seconds.
const LASTING_HALF_LIFE_S: f64 = 10.0;

/// Half-life of the evidence for a recent factor, in seconds; about the length of the spells in
/// which a target is slow.
const RECENT_HALF_LIFE_S: f64 = 0.5;

/// Standard deviation of the logarithm of a sample that has weight 1.
const UNIT_DEVIATION: f64 = 0.25;
