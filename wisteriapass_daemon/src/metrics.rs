//! OpenTelemetry counters, with refusals and retries counted by reason, exported at `/metrics`.

use derive_more::{Display, Error};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter, MeterProvider, UpDownCounter};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::proto::Metric;
use prometheus::{Registry, TextEncoder};

use crate::api::Reason;
use crate::kernel::Service;
use crate::rpc::ReasonCount;

/// Name of the counter of refusals by reason.
pub(crate) const REFUSALS: &str = "wisteriapass_refusals";

/// Name of the counter of retries by reason.
pub(crate) const RETRIES: &str = "wisteriapass_retries";

/// Suffix that the exporter adds to the name of a counter.
const TOTAL_SUFFIX: &str = "_total";

/// Label for the reason.
const REASON_LABEL: &str = "reason";

/// Result of creating the metrics.
pub type Result<T, E = MetricsError> = std::result::Result<T, E>;

/// Reason why the metrics could not be created.
#[derive(Debug, Display, Error)]
#[display("metrics: {cause}; report this as a bug of wisteriapass")]
#[error(ignore)]
pub struct MetricsError {
    /// Error of the exporter.
    cause: String,
}

/// Reason for a retry.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RetryReason {
    /// No connection to the receiver could be made; nothing was sent.
    #[display("not_sent")]
    NotSent,
    /// The side process refused the request, which did not run.
    #[display("refused")]
    Refused,
    /// Nothing arrived on the connection for too long.
    #[display("silent")]
    Silent,
    /// The connection broke.
    #[display("broken")]
    Broken,
    /// The target failed before its first token.
    #[display("target_failed")]
    TargetFailed,
}

/// Reason why received data was dropped.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum DropReason {
    /// It belongs to another request.
    #[display("crossed")]
    Crossed,
    /// It arrived after the request had ended.
    #[display("late")]
    Late,
    /// It could not be parsed.
    #[display("malformed")]
    Malformed,
}

/// Metrics of one process.
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
    /// [`MetricsError`] if the exporter cannot be created.
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

    /// Counts a complete answer.
    pub fn count_answer(&self) {
        self.answers.add(1, &[]);
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, reason: Reason) {
        self.refusals
            .add(1, &[KeyValue::new(REASON_LABEL, reason.to_string())]);
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries
            .add(1, &[KeyValue::new(REASON_LABEL, reason.to_string())]);
    }

    /// Counts received data that was dropped.
    pub fn count_dropped(&self, reason: DropReason) {
        self.dropped
            .add(1, &[KeyValue::new(REASON_LABEL, reason.to_string())]);
    }

    /// Counts billed tokens.
    pub fn count_billed_tokens(&self, tokens: u64) {
        self.tokens.add(tokens, &[]);
    }

    /// Adjusts the number of open streams: 1 when a stream begins, -1 when it ends.
    pub fn adjust_streams(&self, change: i64) {
        self.streams.add(change, &[]);
    }

    /// Returns the values of a counter by reason, without reasons that never occurred.
    pub(crate) fn by_reason(&self, counter: &str) -> Vec<ReasonCount> {
        let name = format!("{counter}{TOTAL_SUFFIX}");
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

    /// Flushes the metrics and shuts their provider down.
    pub fn shut_down(&self) {
        let _ = self.provider.shutdown();
    }
}

/// Returns the value of a counter with its reason label.
fn reason_count(metric: &Metric) -> Option<ReasonCount> {
    let label = metric
        .get_label()
        .iter()
        .find(|l| l.name() == REASON_LABEL)?;
    Some(ReasonCount {
        reason: label.value().to_owned(),
        // The exporter converts the integer counters to floats.
        count: metric.get_counter().value() as u64,
    })
}
