//! Learned correction of the wait estimates of admission control.
//!
//! Handles saturation, where an estimate from queued work does not include urgent requests that are
//! still to come; it cannot be disabled. When it was added, requests that waited in vain fell from
//! 1128 to 414 (`loads --pattern saturation --seed 101 --seeds 7`). The factor is adjusted so that
//! [`TIMEOUT_SHARE`] of the admitted requests time out in the queue: each timeout raises it by
//! correspondingly more than each dispatch lowers it. Some requests have to time out, or the factor
//! would never show that there is capacity again.

/// Target share of admitted requests that time out in the queue.
const TIMEOUT_SHARE: f64 = 0.03;
/// Change of the factor per timeout.
const STEP: f64 = 0.2;
/// Maximum factor; above it nothing would be admitted.
const MAX_FACTOR: f64 = 10.0;

/// Factor on the wait estimates of one class.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitCorrection {
    pub(crate) factor: f64,
}

impl Default for WaitCorrection {
    fn default() -> Self {
        Self { factor: 1.0 }
    }
}

impl WaitCorrection {
    /// Records whether an admitted request was dispatched or timed out in the queue.
    pub(crate) fn record(&mut self, timed_out: bool) {
        let change = if timed_out {
            STEP
        } else {
            -STEP * TIMEOUT_SHARE / (1.0 - TIMEOUT_SHARE)
        };
        self.factor = (self.factor + change).clamp(1.0, MAX_FACTOR);
    }
}
