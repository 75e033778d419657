//! Measures the demand for an account's tokens on this router.

/// Time constant of the average, in milliseconds. It is short enough to follow the start of a burst
/// and long enough to bridge the pauses between large requests.
const TIME_CONSTANT_MS: f64 = 4_000.0;

/// Exponentially weighted average of the demand, in tokens per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandMeter {
    tokens_per_second: f64,
    recent_max: f64,
    updated_ms: u64,
}

impl DemandMeter {
    /// Adds tokens that were requested at `now_ms`.
    pub fn add(&mut self, now_ms: u64, tokens: u64) {
        self.decay(now_ms);
        self.tokens_per_second += tokens as f64 * 1_000.0 / TIME_CONSTANT_MS;
        self.recent_max = self.recent_max.max(tokens as f64);
    }

    /// Returns the demand at `now_ms`, in tokens per second.
    pub fn tokens_per_second(&self, now_ms: u64) -> f64 {
        let mut meter = *self;
        meter.decay(now_ms);
        meter.tokens_per_second
    }

    /// Returns the decayed size of the largest recent request at `now_ms`, in tokens. Requests
    /// arrive unevenly, and a share that covers just their mean is too small every other time.
    pub fn recent_max(&self, now_ms: u64) -> f64 {
        let mut meter = *self;
        meter.decay(now_ms);
        meter.recent_max
    }

    fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let decay = (-elapsed_ms / TIME_CONSTANT_MS).exp();
        self.tokens_per_second *= decay;
        self.recent_max *= decay;
        self.updated_ms = self.updated_ms.max(now_ms);
    }
}
