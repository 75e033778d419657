//! How fast an account draws on this router.

/// Time constant of the average, in milliseconds: short enough to follow a burst that starts,
/// long enough to bridge the pauses between large requests.
const MEMORY_MS: f64 = 2_000.0;

/// Average draw with exponential forgetting, in tokens a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrawMeter {
    per_second: f64,
    at_ms: u64,
}

impl DrawMeter {
    /// Counts tokens that were asked for at `now_ms`.
    pub fn add(&mut self, now_ms: u64, tokens: u64) {
        self.decay(now_ms);
        self.per_second += tokens as f64 * 1_000.0 / MEMORY_MS;
    }

    /// Returns the draw at `now_ms`, in tokens a second.
    pub fn per_second(&self, now_ms: u64) -> f64 {
        let mut meter = *self;
        meter.decay(now_ms);
        meter.per_second
    }

    fn decay(&mut self, now_ms: u64) {
        let passed = now_ms.saturating_sub(self.at_ms) as f64;
        self.per_second *= (-passed / MEMORY_MS).exp();
        self.at_ms = self.at_ms.max(now_ms);
    }
}
