//! How fast an account draws on this router.

/// Time constant of the average, in milliseconds: short enough to follow a burst that starts,
/// long enough to bridge the pauses between large requests.
const MEMORY_MS: f64 = 4_000.0;

/// Average draw with exponential forgetting, in tokens a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandMeter {
    per_second: f64,
    largest: f64,
    at_ms: u64,
}

impl DemandMeter {
    /// Counts tokens that were asked for at `now_ms`.
    pub fn add(&mut self, now_ms: u64, tokens: u64) {
        self.decay(now_ms);
        self.per_second += tokens as f64 * 1_000.0 / MEMORY_MS;
        self.largest = self.largest.max(tokens as f64);
    }

    /// Returns the draw at `now_ms`, in tokens a second.
    pub fn tokens_per_second(&self, now_ms: u64) -> f64 {
        let mut meter = *self;
        meter.decay(now_ms);
        meter.per_second
    }

    /// Returns the largest request of late at `now_ms`, in tokens: requests come unevenly, and a
    /// share that covers just their mean is short of one every other time.
    pub fn recent_max(&self, now_ms: u64) -> f64 {
        let mut meter = *self;
        meter.decay(now_ms);
        meter.largest
    }

    fn decay(&mut self, now_ms: u64) {
        let passed = now_ms.saturating_sub(self.at_ms) as f64;
        let kept = (-passed / MEMORY_MS).exp();
        self.per_second *= kept;
        self.largest *= kept;
        self.at_ms = self.at_ms.max(now_ms);
    }
}
