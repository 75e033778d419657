//! How long requests take of late, at one target and at all of a service, to say whether one ends
//! in time.
//!
//! Answers targets whose queues and pace change with their load: a request waits for a slot, and
//! with many requests running each token takes several times as long as with few. Going by the
//! time in which answers should begin, or by the average, a router promises what it cannot keep.

use smallvec::SmallVec;

use crate::Time;

/// Requests that are looked at.
const SAMPLES: usize = 32;

/// Part of them that took less than what is expected of the next one.
const QUANTILE: f64 = 0.9;

/// Time for a token before any stream was seen, in milliseconds.
const UNSEEN_TOKEN_MS: f64 = 30.0;

/// Fewest tokens of a stream from which its pace is learnt: a pause weighs little in so many.
const LEAST_TOKENS: u64 = 10;

/// Requests of one target that say enough of it.
const KNOWN: usize = 4;

/// Age from which on a target's request says nothing of it any more, in milliseconds.
const OLD_MS: u64 = 10_000;

/// Silence that is suspect, as a multiple of the time in which most answers begin.
const BEYOND_USUAL: f64 = 1.5;

/// The least such silence, as a part of the time in which an answer should begin: what goes elsewhere
/// then may still begin in time.
const PART_OF_AIM: f64 = 0.6;

/// A request that is about to be sent to a target.
#[derive(Clone, Copy, Debug)]
pub struct PlannedRequest {
    /// Time within which its answer should begin, in milliseconds.
    pub latency_goal_ms: u64,
    /// Most tokens of its output.
    pub max_output_tokens: u64,
    /// This router's requests under way at the target.
    pub in_flight: u32,
    /// Time since the target sent anything, while requests are under way there, in milliseconds.
    pub silent_ms: u64,
}

/// Times of requests, as one router sees them.
#[derive(Clone, Debug, Default)]
pub struct LatencyHistory {
    /// From a request's arrival to its first event, or to its whole answer.
    begin_ms: Recent,
    token_ms: Recent,
    /// Requests of this router that were under way at the target, itself included.
    running: Recent,
}

impl LatencyHistory {
    /// Learns from a request whose answer began `ms` milliseconds after it came, or did not within
    /// that time; `running` requests of this router were under way at its target, itself included.
    pub fn record_response_start(&mut self, now: Time, ms: u64, running: u32) {
        self.begin_ms.add(now, ms as f64);
        self.running.add(now, f64::from(running));
    }

    /// Learns from a stream that made `tokens` in `ms` milliseconds.
    pub fn record_output(&mut self, now: Time, tokens: u64, ms: u64) {
        if tokens >= LEAST_TOKENS {
            self.token_ms.add(now, ms as f64 / tokens as f64);
        }
    }

    /// Returns how long a request may take at the target that these are the times of, in
    /// milliseconds; `all` are those of its service, and count where too little is known here.
    pub fn expected_ms(&self, all: &Self, now: Time, work: PlannedRequest) -> u64 {
        let begin_ms = self.begin_ms.high_of_late(now);
        let begin_ms = begin_ms.or(all.begin_ms.highest());
        let token_ms = self.token_ms.high_of_late(now);
        let token_ms = token_ms.or(all.token_ms.highest());
        // A target that fell silent says so by nothing that ended.
        let least_ms = work.latency_goal_ms.max(work.silent_ms) as f64;
        let begin_ms = begin_ms.unwrap_or_default().max(least_ms);
        let output_ms = token_ms.unwrap_or(UNSEEN_TOKEN_MS) * work.max_output_tokens as f64;
        // Times are those of the load that they were seen with: without this, all go to the target
        // that was quickest, and make it the slowest.
        let usual = self.running.high_of_late(now).or(all.running.high());
        let crowding = f64::from(work.in_flight + 1) / usual.unwrap_or(1.0).max(1.0);
        ((begin_ms + output_ms) * crowding.max(1.0)) as u64
    }
}

impl LatencyHistory {
    /// Returns the silence from which on a target is suspect, in milliseconds, for requests whose
    /// answers should begin within `aim_ms`.
    ///
    /// Most answers begin sooner, so what goes elsewhere then is seldom run twice in vain.
    pub fn silence_threshold_ms(&self, aim_ms: u64) -> u64 {
        let usual = self.begin_ms.high().unwrap_or_default() * BEYOND_USUAL;
        usual.max(aim_ms as f64 * PART_OF_AIM) as u64
    }
}

/// The newest values of something.
#[derive(Clone, Debug, Default)]
struct Recent {
    values: Vec<(Time, f64)>,
    oldest: usize,
}

impl Recent {
    fn add(&mut self, now: Time, value: f64) {
        if self.values.len() < SAMPLES {
            self.values.push((now, value));
            return;
        }
        self.values[self.oldest] = (now, value);
        self.oldest = (self.oldest + 1) % SAMPLES;
    }

    /// Returns the highest value; none before the first.
    fn highest(&self) -> Option<f64> {
        self.values.iter().map(|(_, value)| *value).reduce(f64::max)
    }

    /// Returns a value that few exceed; none before the first.
    fn high(&self) -> Option<f64> {
        high(self.values.iter().map(|(_, value)| *value).collect())
    }

    /// Returns the same of those of late, if they are enough.
    fn high_of_late(&self, now: Time) -> Option<f64> {
        let is_late = |(at, _): &&(Time, f64)| now.millis_since(*at) < OLD_MS;
        let late = self.values.iter().filter(is_late);
        let late: SmallVec<[f64; SAMPLES]> = late.map(|(_, value)| *value).collect();
        high(late.clone()).filter(|_| late.len() >= KNOWN)
    }
}

fn high(mut values: SmallVec<[f64; SAMPLES]>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let place = (QUANTILE * values.len() as f64) as usize;
    values.get(place).copied()
}
