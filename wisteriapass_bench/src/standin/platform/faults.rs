//! Faults that the simulated platform injects.

use serde::{Deserialize, Serialize};

/// Outage of the key-value service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// The service answers.
    #[default]
    None,
    /// The service refuses each call with status 503, without effect.
    Refusing,
    /// The service closes each connection without an answer.
    Closing,
    /// The service accepts each call and never answers.
    Silent,
}

/// Faults of the key-value service, as the body of `POST /faults`. A missing key means that the
/// fault is off.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether the service is down, and how calls fail then.
    pub outage: Outage,
    /// Additional delay of each call, in milliseconds.
    pub slow_ms: u64,
    /// Share of writes that take effect but whose answer is lost, from 0 to 1.
    pub lost_answers: f64,
}
