//! How long the output of streams takes of late, to say whether work ends in time.
//!
//! Answers engines whose speed changes with their load: with many requests running each token takes
//! several times as long as with few.

/// Time for a token before any stream was seen, in milliseconds: several times what engines take.
const UNSEEN_MS: f64 = 30.0;

/// Weight of the newest stream in the average: the last dozen decide.
const NEWEST: f64 = 0.1;

/// Fewest tokens of a stream from which its speed is learnt: a pause weighs little in so many.
const LEAST_TOKENS: u64 = 10;

/// Average time for a token of output, as one router sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutputSpeed {
    token_ms: Option<f64>,
}

impl OutputSpeed {
    /// Learns from a stream that made `tokens` in `ms` milliseconds.
    pub fn learn(&mut self, tokens: u64, ms: u64) {
        if tokens < LEAST_TOKENS {
            return;
        }
        let newest = ms as f64 / tokens as f64;
        let before = self.token_ms.unwrap_or(newest);
        self.token_ms = Some(before + NEWEST * (newest - before));
    }

    /// Returns how long a request may take, in milliseconds, whose answer is on time if it begins
    /// within `aim_ms`, and whose output has `most` tokens at the most.
    pub fn expected_ms(&self, aim_ms: u64, most: u64) -> u64 {
        let token_ms = self.token_ms.unwrap_or(UNSEEN_MS);
        aim_ms + (token_ms * most as f64) as u64
    }
}
