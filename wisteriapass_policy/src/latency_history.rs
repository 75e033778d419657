//! Recent request latencies, at one target and at all targets of a service, to predict whether a
//! request will finish in time.
//!
//! Handles targets whose queues and speed change with load: a request waits for a slot, and with
//! many requests running each token takes several times as long as with few. A router that relied
//! on the latency goal or on the average would accept requests that it cannot finish in time.

use smallvec::SmallVec;

use crate::Time;

/// Number of samples kept.
const SAMPLES: usize = 32;

/// Quantile of the samples that is used as the prediction.
const QUANTILE: f64 = 0.9;

/// Time per token before any stream was seen, in milliseconds.
const DEFAULT_TOKEN_MS: f64 = 30.0;

/// Minimum length of a stream whose speed is recorded, in tokens; a pause has little weight in that
/// many.
const MIN_TOKENS: u64 = 10;

/// Minimum number of samples needed to judge a target on its own.
const MIN_RECENT_SAMPLES: usize = 4;

/// Age from which a sample of a target is ignored, in milliseconds.
const MAX_AGE_MS: u64 = 10_000;

/// Factor on the usual time to the start of an answer, above which silence is suspicious.
const SILENCE_FACTOR: f64 = 1.5;

/// Lower limit of that silence, as a share of the latency goal; a request sent elsewhere then may
/// still meet the goal.
const MIN_SILENCE_SHARE: f64 = 0.6;

/// A request that is about to be sent to a target.
#[derive(Clone, Copy, Debug)]
pub struct PlannedRequest {
    /// Latency goal for the start of its answer, in milliseconds.
    pub latency_goal_ms: u64,
    /// Maximum number of output tokens.
    pub max_output_tokens: u64,
    /// Requests of this router in flight at the target.
    pub in_flight: u32,
    /// Time since the target last sent anything while requests were in flight there, in
    /// milliseconds.
    pub silent_ms: u64,
}

/// Request latencies as seen by one router.
#[derive(Clone, Debug, Default)]
pub struct LatencyHistory {
    /// From a request's arrival to its first event, or to its complete answer.
    response_start_ms: RecentSamples,
    token_ms: RecentSamples,
    /// Requests of this router in flight at the target, including the request itself.
    in_flight: RecentSamples,
}

impl LatencyHistory {
    /// Records a request whose answer started after `ms` milliseconds, or had not started by then.
    /// `in_flight` is the number of this router's requests at the target, including this one.
    pub fn record_response_start(&mut self, now: Time, ms: u64, in_flight: u32) {
        self.response_start_ms.add(now, ms as f64);
        self.in_flight.add(now, f64::from(in_flight));
    }

    /// Records a stream that produced `tokens` tokens in `ms` milliseconds.
    pub fn record_output(&mut self, now: Time, tokens: u64, ms: u64) {
        if tokens >= MIN_TOKENS {
            self.token_ms.add(now, ms as f64 / tokens as f64);
        }
    }

    /// Returns how long a request may take at this target, in milliseconds. `service` holds the
    /// samples of the whole service, used where the target has too few.
    pub fn expected_ms(&self, service: &Self, now: Time, request: PlannedRequest) -> u64 {
        let response_start_ms = self.response_start_ms.recent_quantile(now);
        let response_start_ms = response_start_ms.or(service.response_start_ms.max());
        let token_ms = self.token_ms.recent_quantile(now);
        let token_ms = token_ms.or(service.token_ms.max());
        // No finished request shows that a target has become silent.
        let min_ms = request.latency_goal_ms.max(request.silent_ms) as f64;
        let response_start_ms = response_start_ms.unwrap_or_default().max(min_ms);
        let output_ms = token_ms.unwrap_or(DEFAULT_TOKEN_MS) * request.max_output_tokens as f64;
        // Latencies were measured at the load of that time. Without this factor all requests would
        // go to the fastest target and make it the slowest.
        let usual = self
            .in_flight
            .recent_quantile(now)
            .or(service.in_flight.quantile());
        let congestion = f64::from(request.in_flight + 1) / usual.unwrap_or(1.0).max(1.0);
        ((response_start_ms + output_ms) * congestion.max(1.0)) as u64
    }
}

impl LatencyHistory {
    /// Returns the duration of silence from which a target is suspect, in milliseconds, for
    /// requests with this latency goal.
    ///
    /// Most answers start sooner, so a request that is then sent elsewhere seldom runs twice
    /// needlessly.
    pub fn silence_threshold_ms(&self, latency_goal_ms: u64) -> u64 {
        let usual = self.response_start_ms.quantile().unwrap_or_default() * SILENCE_FACTOR;
        usual.max(latency_goal_ms as f64 * MIN_SILENCE_SHARE) as u64
    }
}

/// Ring buffer of the newest samples.
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

    /// Returns the highest sample, if any.
    fn max(&self) -> Option<f64> {
        self.values.iter().map(|(_, value)| *value).reduce(f64::max)
    }

    /// Returns the sample at [`QUANTILE`], if any.
    fn quantile(&self) -> Option<f64> {
        quantile(self.values.iter().map(|(_, value)| *value).collect())
    }

    /// Returns the sample at [`QUANTILE`] among recent samples, if there are enough.
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
