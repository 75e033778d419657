//! Counters and times by opentelemetry: refusals, repeats, calls to the store, answers.

use std::time::Duration;

use derive_more::{Display, Error};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::platform::StoreError;
use crate::refusal::Refusal;
use crate::route::RequestKind;

/// Label that carries the reason.
const REASON: &str = "reason";

/// Label that carries the kind of request.
const KIND: &str = "kind";

/// Label that carries what was called.
const CALL: &str = "call";

/// Label that carries what became of a call.
const OUTCOME: &str = "outcome";

/// Upper bounds of times, in seconds: from what a router adds to the longest deadlines in use.
const SECONDS: [f64; 13] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 30.0,
];

/// Why the counters could not be made.
#[derive(Debug, Display, Error)]
#[display("metrics: {cause}; report this as a fault of wisteriapass")]
#[error(ignore)]
pub struct MetricsError {
    cause: String,
}

/// Why a request was sent to another target.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RetryReason {
    /// Nothing reached the target.
    #[display("not_sent")]
    NotSent,
    /// The target did not run it.
    #[display("not_run")]
    NotRun,
    /// The answer was lost or wrong.
    #[display("lost")]
    Lost,
    /// The target failed it.
    #[display("failed")]
    Failed,
    /// A stream broke and goes on elsewhere.
    #[display("resumed")]
    Resumed,
}

/// A call to the key-value service.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StoreCall {
    /// The whole configuration or all targets.
    #[display("read")]
    Read,
    /// Changes of the configuration.
    #[display("watch_configuration")]
    WatchConfiguration,
    /// Changes of targets.
    #[display("watch_targets")]
    WatchTargets,
    /// The record of shares.
    #[display("read_shares")]
    ReadShares,
    /// Its next state.
    #[display("write_shares")]
    WriteShares,
}

/// What became of a call to the key-value service.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StoreOutcome {
    /// It was answered.
    #[display("answered")]
    Answered,
    /// Another router had written before.
    #[display("conflict")]
    Conflict,
    /// It was not done.
    #[display("refused")]
    Refused,
    /// No answer came, or none that can be read.
    #[display("no_answer")]
    NoAnswer,
    /// The history asked for is gone.
    #[display("history_gone")]
    HistoryGone,
    /// The answer was larger than asked for.
    #[display("too_large")]
    TooLarge,
}

impl StoreOutcome {
    /// Returns what became of a call that gave no answer.
    pub fn of(error: &StoreError) -> Self {
        match error {
            StoreError::Refused => Self::Refused,
            StoreError::Compacted => Self::HistoryGone,
            StoreError::TooLarge => Self::TooLarge,
            StoreError::NoAnswer | StoreError::Malformed => Self::NoAnswer,
        }
    }
}

/// Counters of one router.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    answers: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    broken_streams: Counter<u64>,
    target_deaths: Counter<u64>,
    evacuations: Counter<u64>,
    store_calls: Counter<u64>,
    first_event: Histogram<f64>,
    whole_answer: Histogram<f64>,
}

impl Metrics {
    /// Creates the counters.
    ///
    /// # Errors
    ///
    /// [`MetricsError`] if the exporter cannot be made.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| MetricsError {
                cause: e.to_string(),
            })?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("wisteriapass");
        Ok(Self {
            answers: meter.u64_counter("wisteriapass_answers").build(),
            refusals: meter.u64_counter("wisteriapass_refusals").build(),
            retries: meter.u64_counter("wisteriapass_retries").build(),
            broken_streams: meter.u64_counter("wisteriapass_broken_streams").build(),
            target_deaths: meter.u64_counter("wisteriapass_target_deaths").build(),
            evacuations: meter.u64_counter("wisteriapass_evacuations").build(),
            store_calls: meter.u64_counter("wisteriapass_store_calls").build(),
            first_event: seconds(&meter, "wisteriapass_first_event"),
            whole_answer: seconds(&meter, "wisteriapass_answer"),
            registry,
            _provider: provider,
        })
    }

    /// Counts an answer of a target and the time from its request's arrival to its end.
    pub fn count_answer(&self, kind: RequestKind, took: Duration) {
        let kind = KeyValue::new(KIND, kind.to_string());
        self.answers.add(1, std::slice::from_ref(&kind));
        self.whole_answer.record(took.as_secs_f64(), &[kind]);
    }

    /// Takes in the time from a request's arrival to the first event of its answer.
    pub fn record_first_event(&self, kind: RequestKind, took: Duration) {
        let kind = KeyValue::new(KIND, kind.to_string());
        self.first_event.record(took.as_secs_f64(), &[kind]);
    }

    /// Counts a call to the key-value service.
    pub fn count_store_call(&self, call: StoreCall, outcome: StoreOutcome) {
        let call = KeyValue::new(CALL, call.to_string());
        let outcome = KeyValue::new(OUTCOME, outcome.to_string());
        self.store_calls.add(1, &[call, outcome]);
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, reason: Refusal) {
        let reason = KeyValue::new(REASON, reason.to_string());
        self.refusals.add(1, &[reason]);
    }

    /// Counts a repeat.
    pub fn count_retry(&self, reason: RetryReason) {
        let reason = KeyValue::new(REASON, reason.to_string());
        self.retries.add(1, &[reason]);
    }

    /// Counts a stream that ended early.
    pub fn count_broken_stream(&self) {
        self.broken_streams.add(1, &[]);
    }

    /// Counts a target that ended with requests under way.
    pub fn count_target_death(&self) {
        self.target_deaths.add(1, &[]);
    }

    /// Counts a failure domain that is evacuated.
    pub fn count_evacuation(&self) {
        self.evacuations.add(1, &[]);
    }

    /// Returns all counters as text.
    pub fn encode(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}

/// Creates a histogram of times.
fn seconds(meter: &Meter, name: &'static str) -> Histogram<f64> {
    let histogram = meter.f64_histogram(name).with_unit("s");
    histogram.with_boundaries(SECONDS.to_vec()).build()
}
