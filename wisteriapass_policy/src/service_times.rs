//! How long requests of a service take of late, to say whether one ends in time.
//!
//! Answers targets whose queues and speed change with their load: a request waits for a slot, and
//! with many requests running each token takes several times as long as with few. Going by the
//! time in which answers should begin, or by the average, a router promises what it cannot keep.

use smallvec::SmallVec;

/// Requests that are looked at.
const SAMPLES: usize = 32;

/// Part of them that took less than what is expected of the next one.
const QUANTILE: f64 = 0.9;

/// Time for a token before any stream was seen, in milliseconds.
const UNSEEN_TOKEN_MS: f64 = 30.0;

/// Fewest tokens of a stream from which its pace is learnt: a pause weighs little in so many.
const LEAST_TOKENS: u64 = 10;

/// Times of a service's requests, as one router sees them.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    /// From a request's arrival to its first event, or to its whole answer.
    begin_ms: Recent,
    token_ms: Recent,
}

impl ServiceTimes {
    /// Learns from a request whose answer began `ms` milliseconds after it came, or did not within
    /// that time.
    pub fn learn_begin(&mut self, ms: u64) {
        self.begin_ms.add(ms as f64);
    }

    /// Learns from a stream that made `tokens` in `ms` milliseconds.
    pub fn learn_output(&mut self, tokens: u64, ms: u64) {
        if tokens >= LEAST_TOKENS {
            self.token_ms.add(ms as f64 / tokens as f64);
        }
    }

    /// Returns how long a request may take, in milliseconds, whose answer is on time if it begins
    /// within `aim_ms`, and whose output has `most` tokens at the most.
    pub fn expected_ms(&self, aim_ms: u64, most: u64) -> u64 {
        let begin_ms = self.begin_ms.high().unwrap_or_default();
        let token_ms = self.token_ms.high().unwrap_or(UNSEEN_TOKEN_MS);
        begin_ms.max(aim_ms as f64) as u64 + (token_ms * most as f64) as u64
    }
}

/// The newest values of something.
#[derive(Clone, Debug, Default)]
struct Recent {
    values: SmallVec<[f64; SAMPLES]>,
    oldest: usize,
}

impl Recent {
    fn add(&mut self, value: f64) {
        if self.values.len() < SAMPLES {
            self.values.push(value);
            return;
        }
        self.values[self.oldest] = value;
        self.oldest = (self.oldest + 1) % SAMPLES;
    }

    /// Returns a value that few exceed; none before the first.
    fn high(&self) -> Option<f64> {
        let mut sorted = self.values.clone();
        sorted.sort_by(f64::total_cmp);
        let place = (QUANTILE * sorted.len() as f64) as usize;
        sorted.get(place).copied()
    }
}
