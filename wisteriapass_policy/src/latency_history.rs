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
const DEFAULT_TOKEN_MS: f64 = 30.0;

/// Fewest tokens of a stream from which its pace is learnt: a pause weighs little in so many.
const MIN_TOKENS: u64 = 10;

/// Requests of one target that say enough of it.
const MIN_RECENT_SAMPLES: usize = 4;

/// Age from which on a target's request says nothing of it any more, in milliseconds.
const MAX_AGE_MS: u64 = 10_000;

/// Silence that is suspect, as a multiple of the time in which most answers begin.
const SILENCE_FACTOR: f64 = 1.5;

/// The least such silence, as a part of the time in which an answer should begin: what goes elsewhere
/// then may still begin in time.
const MIN_SILENCE_SHARE: f64 = 0.6;

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
    response_start_ms: RecentSamples,
    token_ms: RecentSamples,
    /// Requests of this router that were under way at the target, itself included.
    in_flight: RecentSamples,
}

impl LatencyHistory {
    /// Learns from a request whose answer began `ms` milliseconds after it came, or did not within
    /// that time; `running` requests of this router were under way at its target, itself included.
    pub fn record_response_start(&mut self, now: Time, ms: u64, in_flight: u32) {
        self.response_start_ms.add(now, ms as f64);
        self.in_flight.add(now, f64::from(in_flight));
    }

    /// Learns from a stream that made `tokens` in `ms` milliseconds.
    pub fn record_output(&mut self, now: Time, tokens: u64, ms: u64) {
        if tokens >= MIN_TOKENS {
            self.token_ms.add(now, ms as f64 / tokens as f64);
        }
    }

    /// Returns how long a request may take at the target that these are the times of, in
    /// milliseconds; `all` are those of its service, and count where too little is known here.
    pub fn expected_ms(&self, service: &Self, now: Time, request: PlannedRequest) -> u64 {
        let response_start_ms = self.response_start_ms.recent_quantile(now);
        let response_start_ms = response_start_ms.or(service.response_start_ms.max());
        let token_ms = self.token_ms.recent_quantile(now);
        let token_ms = token_ms.or(service.token_ms.max());
        // A target that fell silent says so by nothing that ended.
        let min_ms = request.latency_goal_ms.max(request.silent_ms) as f64;
        let response_start_ms = response_start_ms.unwrap_or_default().max(min_ms);
        let output_ms = token_ms.unwrap_or(DEFAULT_TOKEN_MS) * request.max_output_tokens as f64;
        // Times are those of the load that they were seen with: without this, all go to the target
        // that was quickest, and make it the slowest.
        let usual = self
            .in_flight
            .recent_quantile(now)
            .or(service.in_flight.quantile());
        let congestion = f64::from(request.in_flight + 1) / usual.unwrap_or(1.0).max(1.0);
        ((response_start_ms + output_ms) * congestion.max(1.0)) as u64
    }
}

impl LatencyHistory {
    /// Returns the silence from which on a target is suspect, in milliseconds, for requests whose
    /// answers should begin within `aim_ms`.
    ///
    /// Most answers begin sooner, so what goes elsewhere then is seldom run twice in vain.
    pub fn silence_threshold_ms(&self, latency_goal_ms: u64) -> u64 {
        let usual = self.response_start_ms.quantile().unwrap_or_default() * SILENCE_FACTOR;
        usual.max(latency_goal_ms as f64 * MIN_SILENCE_SHARE) as u64
    }
}

/// The newest values of something.
#[derive(Clone, Debug, Default)]
struct RecentSamples {
    values: Vec<(Time, f64)>,
    oldest: usize,
}

impl RecentSamples {
    fn add(&mut self, now: Time, value: f64) {
        if self.values.len() < SAMPLES {
            self.values.push((now, value));
            return;
        }
        self.values[self.oldest] = (now, value);
        self.oldest = (self.oldest + 1) % SAMPLES;
    }

    /// Returns the highest value; none before the first.
    fn max(&self) -> Option<f64> {
        self.values.iter().map(|(_, value)| *value).reduce(f64::max)
    }

    /// Returns a value that few exceed; none before the first.
    fn quantile(&self) -> Option<f64> {
        quantile(self.values.iter().map(|(_, value)| *value).collect())
    }

    /// Returns the same of those of late, if they are enough.
    fn recent_quantile(&self, now: Time) -> Option<f64> {
        let is_recent = |(at, _): &&(Time, f64)| now.millis_since(*at) < MAX_AGE_MS;
        let recent = self.values.iter().filter(is_recent);
        let recent: SmallVec<[f64; SAMPLES]> = recent.map(|(_, value)| *value).collect();
        quantile(recent.clone()).filter(|_| recent.len() >= MIN_RECENT_SAMPLES)
    }
}

fn quantile(mut values: SmallVec<[f64; SAMPLES]>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let index = (QUANTILE * values.len() as f64) as usize;
    values.get(index).copied()
}
