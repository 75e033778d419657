//! Counters by opentelemetry, for each refusal and retry reason, read at `/metrics`.

use derive_more::{Display, Error};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter, MeterProvider, UpDownCounter};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::proto::Metric;
use prometheus::{Registry, TextEncoder};

use crate::api::Reason;
use crate::kernel::Service;
use crate::rpc::ReasonCount;

/// Counter of refusals, by reason.
pub(crate) const REFUSALS: &str = "wisteriapass_refusals";

/// Counter of retries, by reason.
pub(crate) const RETRIES: &str = "wisteriapass_retries";

/// What the exporter adds to the name of a counter.
const TOTAL: &str = "_total";

/// Label that carries the reason.
const REASON: &str = "reason";

/// Result of starting the metrics.
pub type Result<T, E = MetricsError> = std::result::Result<T, E>;

/// Why the metrics could not be started.
#[derive(Debug, Display, Error)]
#[display("metrics: {cause}; report this as a fault of wisteriapass")]
#[error(ignore)]
pub struct MetricsError {
    /// What the exporter said.
    cause: String,
}

/// Why something was tried again.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RetryReason {
    /// No connection to the side process; nothing was sent.
    #[display("not_sent")]
    NotSent,
    /// The side process refused it, and it did not run.
    #[display("refused")]
    Refused,
    /// The connection went silent.
    #[display("silent")]
    Silent,
    /// The connection broke.
    #[display("broken")]
    Broken,
    /// The target failed before its first token.
    #[display("target_failed")]
    TargetFailed,
}

/// Why something that arrived was dropped.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum DropReason {
    /// It belongs to another request.
    #[display("crossed")]
    Crossed,
    /// It came after the request had ended.
    #[display("late")]
    Late,
    /// It could not be read.
    #[display("malformed")]
    Malformed,
}

/// Counters of one process.
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    requests: Counter<u64>,
    answers: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    dropped: Counter<u64>,
    tokens: Counter<u64>,
    streams: UpDownCounter<i64>,
}

impl Service for Metrics {
    const NAME: &'static str = "metrics";
}

impl Metrics {
    /// Creates the counters.
    ///
    /// # Errors
    ///
    /// [`MetricsError`] if the exporter cannot be made.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| MetricsError {
                cause: e.to_string(),
            })?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("wisteriapass");
        Ok(Self::with_meter(&meter, registry, provider))
    }

    fn with_meter(meter: &Meter, registry: Registry, provider: SdkMeterProvider) -> Self {
        Self {
            registry,
            requests: meter.u64_counter("wisteriapass_requests").build(),
            answers: meter.u64_counter("wisteriapass_answers").build(),
            refusals: meter.u64_counter(REFUSALS).build(),
            retries: meter.u64_counter(RETRIES).build(),
            dropped: meter.u64_counter("wisteriapass_dropped").build(),
            tokens: meter.u64_counter("wisteriapass_billed_tokens").build(),
            streams: meter.i64_up_down_counter("wisteriapass_streams").build(),
            provider,
        }
    }

    /// Counts a request.
    pub fn count_request(&self) {
        self.requests.add(1, &[]);
    }

    /// Counts a whole answer.
    pub fn count_answer(&self) {
        self.answers.add(1, &[]);
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, reason: Reason) {
        self.refusals
            .add(1, &[KeyValue::new(REASON, reason.to_string())]);
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries
            .add(1, &[KeyValue::new(REASON, reason.to_string())]);
    }

    /// Counts something that was dropped.
    pub fn count_dropped(&self, reason: DropReason) {
        self.dropped
            .add(1, &[KeyValue::new(REASON, reason.to_string())]);
    }

    /// Counts billed tokens.
    pub fn count_billed_tokens(&self, tokens: u64) {
        self.tokens.add(tokens, &[]);
    }

    /// Counts a stream that begins (1) or ends (-1).
    pub fn adjust_streams(&self, change: i64) {
        self.streams.add(change, &[]);
    }

    /// Returns the values of a counter by reason; reasons that never occurred are left out.
    pub(crate) fn by_reason(&self, counter: &str) -> Vec<ReasonCount> {
        let name = format!("{counter}{TOTAL}");
        let families = self.registry.gather();
        let family = families.iter().find(|f| f.name() == name);
        let metrics = family.map(|f| f.get_metric()).unwrap_or_default();
        metrics.iter().filter_map(reason_count).collect()
    }

    /// Returns all counters in the Prometheus text format.
    pub fn text(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }

    /// Flushes and ends the metrics.
    pub fn shut_down(&self) {
        let _ = self.provider.shutdown();
    }
}

/// Reads one value of a counter with a reason.
fn reason_count(metric: &Metric) -> Option<ReasonCount> {
    let label = metric.get_label().iter().find(|l| l.name() == REASON)?;
    Some(ReasonCount {
        reason: label.value().to_owned(),
        // Counters hold whole numbers, which the exporter turns into floats.
        count: metric.get_counter().value() as u64,
    })
}
