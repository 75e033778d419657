//! What admission learned of its own wait estimates.
//!
//! Answers saturation, where an estimate from what is queued knows nothing of the urgent work that
//! is still to come; it has no switch. When it was added, requests that waited in vain fell from 1128
//! to 414 (`loads --pattern saturation --seed 101 --seeds 7`). The factor is moved so that
//! [`VAIN_SHARE`] of the admitted waits in vain: each vain wait raises it by that much more than each
//! good one lowers it. Some have to, or the factor would never learn that there is room again.

/// Share of admitted requests that may wait in vain.
const TIMEOUT_SHARE: f64 = 0.03;
/// Change of the factor for one vain wait.
const STEP: f64 = 0.2;
/// Largest factor; beyond it nothing would be let in.
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
    /// Takes in that an admitted request got its turn, or waited in vain.
    pub(crate) fn record(&mut self, timed_out: bool) {
        let change = if timed_out {
            STEP
        } else {
            -STEP * TIMEOUT_SHARE / (1.0 - TIMEOUT_SHARE)
        };
        self.factor = (self.factor + change).clamp(1.0, MAX_FACTOR);
    }
}
