//! How long the output of streams takes of late.

use std::cell::Cell;

use crate::facts::TokenWork;

/// Time for a token before any stream was seen, in milliseconds: several times what engines take.
const UNSEEN_MS: f64 = 30.0;

/// Weight of the newest stream in the average: the last dozen decide.
const NEWEST: f64 = 0.1;

/// Fewest tokens of a stream from which its speed is learnt: a pause weighs little in so many.
const LEAST_TOKENS: u64 = 10;

/// Average time for a token of output, at this router.
#[derive(Clone, Debug, Default)]
pub struct Speed {
    token_ms: Cell<Option<f64>>,
}

impl Speed {
    /// Learns from a stream that made `tokens` in `ms`.
    pub fn learn(&self, tokens: u64, ms: u64) {
        if tokens < LEAST_TOKENS {
            return;
        }
        let newest = ms as f64 / tokens as f64;
        let before = self.token_ms.get().unwrap_or(newest);
        self.token_ms.set(Some(before + NEWEST * (newest - before)));
    }

    /// Returns how long a request may take, in milliseconds, whose answer is on time if it begins
    /// within `aim_ms`.
    pub fn expected_ms(&self, aim_ms: u64, work: Option<TokenWork>) -> u64 {
        let token_ms = self.token_ms.get().unwrap_or(UNSEEN_MS);
        let output = work.map_or(0, |w| w.max_output);
        aim_ms + (token_ms * output as f64) as u64
    }
}
