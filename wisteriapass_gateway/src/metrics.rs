//! OpenTelemetry metrics: refusals, retries, store calls and response times.

use std::time::Duration;

use derive_more::{Display, Error};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use wisteriapass_coord::prepaid::Outstanding;
use wisteriapass_policy::memory_account::{MemoryAccount, Purpose};
use wisteriapass_policy::rotation::{ChangeReason, Crowding, ExitRefusal, Standing};

use crate::configuration_source::ConfigurationSource;
use crate::exchange::UnprovenEnd;
use crate::overrun::Overrun;
use crate::platform::StoreError;
use crate::refusal::Refusal;
use crate::route::RequestKind;
use crate::speeds::SpeedBand;

/// Label for the reason.
const REASON: &str = "reason";

/// Label for the kind of request.
const KIND: &str = "kind";

/// Label for the type of call.
const CALL: &str = "call";

/// Label for the source of a configuration and of the origin of a stream.
const SOURCE: &str = "source";

/// Label for the standing of routers and for the state of prepaid tokens.
const STATE: &str = "state";

/// Label for the cause of a mark.
const CAUSE: &str = "cause";

/// Label for the outcome of a call.
const OUTCOME: &str = "outcome";

/// Label for the part of an answer.
const PART: &str = "part";

/// Label for what memory is held for.
const PURPOSE: &str = "purpose";

/// Label for the band of slowness.
const BAND: &str = "band";

/// Histogram bounds, in seconds: from the overhead of a router to the longest deadlines in use.
const SECONDS: [f64; 13] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 30.0,
];

/// Failure to set up the metrics.
#[derive(Debug, Display, Error)]
#[display("cannot set up metrics: {cause}; please report this as a bug in wisteriapass")]
#[error(ignore)]
pub struct MetricsError {
    cause: String,
}

/// Why a request was retried.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RetryReason {
    /// Nothing reached the target.
    #[display("not_sent")]
    NotSent,
    /// The target did not run the request.
    #[display("not_run")]
    NotRun,
    /// The response was lost or invalid.
    #[display("lost")]
    Lost,
    /// The target returned an error.
    #[display("failed")]
    Failed,
    /// A stream broke off and is resumed at another target.
    #[display("resumed")]
    Resumed,
}

/// From where it is known at which software version a resumed stream goes on.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum OriginSource {
    /// This router remembers the stream.
    #[display("own")]
    Own,
    /// Another router remembers it.
    #[display("peer")]
    Peer,
    /// A single version may have begun it.
    #[display("only_version")]
    OnlyVersion,
    /// It is not known.
    #[display("unknown")]
    Unknown,
}

/// A call to the key-value store.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads the complete configuration or all targets.
    #[display("read")]
    Read,
    /// Watches the configuration.
    #[display("watch_configuration")]
    WatchConfiguration,
    /// Watches the targets.
    #[display("watch_targets")]
    WatchTargets,
    /// Reads a record of shares.
    #[display("read_shares")]
    ReadShares,
    /// Writes a record of shares.
    #[display("write_shares")]
    WriteShares,
    /// Reads the record of software versions.
    #[display("read_versions")]
    ReadVersions,
    /// Writes the record of software versions.
    #[display("write_versions")]
    WriteVersions,
}

/// Outcome of a call to the key-value store.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StoreOutcome {
    /// The call was answered.
    #[display("answered")]
    Answered,
    /// Another router wrote the record first.
    #[display("conflict")]
    Conflict,
    /// The call was not executed.
    #[display("refused")]
    Refused,
    /// No answer came, or one that cannot be parsed.
    #[display("no_answer")]
    NoAnswer,
    /// The requested history was compacted.
    #[display("history_gone")]
    HistoryGone,
    /// The answer exceeded the requested size.
    #[display("too_large")]
    TooLarge,
}

impl StoreOutcome {
    /// Returns the outcome of a failed call.
    pub fn of(error: &StoreError) -> Self {
        match error {
            StoreError::Refused => Self::Refused,
            StoreError::Compacted => Self::HistoryGone,
            StoreError::TooLarge => Self::TooLarge,
            StoreError::NoAnswer | StoreError::Malformed => Self::NoAnswer,
        }
    }
}

/// Metrics of one router.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    answers: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    broken_streams: Counter<u64>,
    unproven_ends: Counter<u64>,
    overruns: Counter<u64>,
    memory_short: Counter<u64>,
    held_memory: Gauge<u64>,
    resumed_streams: Counter<u64>,
    target_deaths: Counter<u64>,
    evacuations: Counter<u64>,
    store_calls: Counter<u64>,
    rotation_routers: Gauge<u64>,
    rotation_marks: Counter<u64>,
    rotation_changes: Counter<u64>,
    rotation_refusals: Counter<u64>,
    prepaid_tokens: Gauge<u64>,
    target_speeds: Gauge<u64>,
    configuration_delay: Histogram<f64>,
    loop_delay: Histogram<f64>,
    first_event: Histogram<f64>,
    whole_answer: Histogram<f64>,
}

impl Metrics {
    /// Creates the metrics.
    ///
    /// # Errors
    ///
    /// [`MetricsError`] if the exporter cannot be created.
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
            unproven_ends: meter.u64_counter("wisteriapass_unproven_ends").build(),
            overruns: meter.u64_counter("wisteriapass_overruns").build(),
            memory_short: meter.u64_counter("wisteriapass_memory_short").build(),
            held_memory: meter.u64_gauge("wisteriapass_held_memory_bytes").build(),
            resumed_streams: meter.u64_counter("wisteriapass_resumed_streams").build(),
            target_deaths: meter.u64_counter("wisteriapass_target_deaths").build(),
            evacuations: meter.u64_counter("wisteriapass_evacuations").build(),
            store_calls: meter.u64_counter("wisteriapass_store_calls").build(),
            rotation_routers: meter.u64_gauge("wisteriapass_rotation_routers").build(),
            rotation_marks: meter.u64_counter("wisteriapass_rotation_marks").build(),
            rotation_changes: meter.u64_counter("wisteriapass_rotation_changes").build(),
            rotation_refusals: meter.u64_counter("wisteriapass_rotation_refusals").build(),
            prepaid_tokens: meter.u64_gauge("wisteriapass_prepaid_tokens").build(),
            target_speeds: meter.u64_gauge("wisteriapass_target_speeds").build(),
            configuration_delay: seconds(&meter, "wisteriapass_configuration_delay"),
            loop_delay: seconds(&meter, "wisteriapass_loop_delay"),
            first_event: seconds(&meter, "wisteriapass_first_event"),
            whole_answer: seconds(&meter, "wisteriapass_answer"),
            registry,
            _provider: provider,
        })
    }

    /// Counts a response of a target and records the time from the request's arrival to its end.
    pub fn count_answer(&self, kind: RequestKind, took: Duration) {
        let kind = KeyValue::new(KIND, kind.to_string());
        self.answers.add(1, std::slice::from_ref(&kind));
        self.whole_answer.record(took.as_secs_f64(), &[kind]);
    }

    /// Records the time from a request's arrival to the first event of its response.
    pub fn record_first_event(&self, kind: RequestKind, took: Duration) {
        let kind = KeyValue::new(KIND, kind.to_string());
        self.first_event.record(took.as_secs_f64(), &[kind]);
    }

    pub fn count_store_call(&self, call: StoreCall, outcome: StoreOutcome) {
        let call = KeyValue::new(CALL, call.to_string());
        let outcome = KeyValue::new(OUTCOME, outcome.to_string());
        self.store_calls.add(1, &[call, outcome]);
    }

    /// Sets the prepaid tokens that this router holds.
    pub fn set_outstanding(&self, outstanding: Outstanding) {
        let states = [
            ("granted_unspent", outstanding.granted_unspent),
            ("open_unspent", outstanding.open_unspent),
            ("lost", outstanding.lost),
        ];
        for (state, tokens) in states {
            self.prepaid_tokens
                .record(tokens, &[KeyValue::new(STATE, state)]);
        }
    }

    pub fn count_refusal(&self, reason: Refusal) {
        let reason = KeyValue::new(REASON, reason.to_string());
        self.refusals.add(1, &[reason]);
    }

    pub fn count_retry(&self, reason: RetryReason) {
        let reason = KeyValue::new(REASON, reason.to_string());
        self.retries.add(1, &[reason]);
    }

    /// Counts a stream that ended early.
    pub fn count_broken_stream(&self) {
        self.broken_streams.add(1, &[]);
    }

    /// Counts a body whose end did not prove that it is complete.
    pub fn count_unproven_end(&self, end: UnprovenEnd) {
        let outcome = KeyValue::new(OUTCOME, end.to_string());
        self.unproven_ends.add(1, &[outcome]);
    }

    /// Counts an answer of which a part exceeds its limit.
    pub fn count_overrun(&self, overrun: Overrun) {
        let part = KeyValue::new(PART, overrun.to_string());
        self.overruns.add(1, &[part]);
    }

    /// Records the memory that is held for others.
    pub fn record_held_memory(&self, account: &MemoryAccount) {
        for purpose in Purpose::ALL {
            let label = KeyValue::new(PURPOSE, purpose.to_string());
            self.held_memory.record(account.held(purpose), &[label]);
        }
    }

    /// Counts that there was no memory for a purpose.
    pub fn count_memory_short(&self, purpose: Purpose) {
        let purpose = KeyValue::new(PURPOSE, purpose.to_string());
        self.memory_short.add(1, &[purpose]);
    }

    /// Counts a stream that its client resumes, by the source of its origin.
    pub fn count_resumed_stream(&self, source: OriginSource) {
        let source = KeyValue::new(SOURCE, source.to_string());
        self.resumed_streams.add(1, &[source]);
    }

    /// Counts a target that ended with requests running.
    pub fn count_target_death(&self) {
        self.target_deaths.add(1, &[]);
    }

    /// Counts the evacuation of a failure domain.
    pub fn count_evacuation(&self) {
        self.evacuations.add(1, &[]);
    }

    /// Records how many routers of the failure domain serve and stand by, as decided by this router.
    pub fn record_rotation(&self, serving: usize, standby: usize) {
        for (standing, count) in [(Standing::Serving, serving), (Standing::Standby, standby)] {
            let state = KeyValue::new(STATE, standing.to_string());
            self.rotation_routers.record(count as u64, &[state]);
        }
    }

    /// Counts a router that this coordinator marked.
    pub fn count_rotation_mark(&self, cause: Crowding) {
        let cause = KeyValue::new(CAUSE, cause.to_string());
        self.rotation_marks.add(1, &[cause]);
    }

    /// Counts a change of a router's standing that this coordinator decided.
    pub fn count_rotation_change(&self, reason: ChangeReason) {
        let reason = KeyValue::new(REASON, reason.to_string());
        self.rotation_changes.add(1, &[reason]);
    }

    /// Counts a refusal that another failure domain leaves rotation.
    pub fn count_rotation_refusal(&self, reason: ExitRefusal) {
        let reason = KeyValue::new(REASON, reason.to_string());
        self.rotation_refusals.add(1, &[reason]);
    }

    /// Records the number of targets by the band of their lasting slowness factors.
    pub fn record_target_speeds(&self, factors: impl Iterator<Item = f64>) {
        let mut counts = [0; SpeedBand::ALL.len()];
        for factor in factors {
            counts[SpeedBand::of(factor) as usize] += 1;
        }
        for (band, count) in SpeedBand::ALL.iter().zip(counts) {
            let band = KeyValue::new(BAND, band.to_string());
            self.target_speeds.record(count, &[band]);
        }
    }

    /// Records how long a configuration can have been accepted before it came into force here.
    pub fn record_configuration_delay(&self, source: &ConfigurationSource, delay: Duration) {
        let source = KeyValue::new(SOURCE, source.to_string());
        self.configuration_delay
            .record(delay.as_secs_f64(), &[source]);
    }

    /// Records how late a task of this router ran.
    pub fn record_loop_delay(&self, delay: Duration) {
        self.loop_delay.record(delay.as_secs_f64(), &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}

/// Creates a histogram of durations.
fn seconds(meter: &Meter, name: &'static str) -> Histogram<f64> {
    let histogram = meter.f64_histogram(name).with_unit("s");
    histogram.with_boundaries(SECONDS.to_vec()).build()
}
