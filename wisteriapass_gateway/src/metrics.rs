//! Counters by opentelemetry, for each refusal and retry reason.

use derive_more::{Display, Error};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::refusal::Refusal;

/// Label that carries the reason.
const REASON: &str = "reason";

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

/// Counters of one router.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    answers: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    broken: Counter<u64>,
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
            broken: meter.u64_counter("wisteriapass_broken_streams").build(),
            registry,
            _provider: provider,
        })
    }

    /// Counts an answer of a target.
    pub fn answered(&self) {
        self.answers.add(1, &[]);
    }

    /// Counts a refusal.
    pub fn refused(&self, reason: Refusal) {
        let reason = KeyValue::new(REASON, reason.to_string());
        self.refusals.add(1, &[reason]);
    }

    /// Counts a repeat.
    pub fn retried(&self, reason: RetryReason) {
        let reason = KeyValue::new(REASON, reason.to_string());
        self.retries.add(1, &[reason]);
    }

    /// Counts a stream that ended early.
    pub fn broke(&self) {
        self.broken.add(1, &[]);
    }

    /// Returns all counters as text.
    pub fn text(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}
