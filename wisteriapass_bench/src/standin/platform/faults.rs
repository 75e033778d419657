//! Fault switches of the platform's stand-in.

use serde::{Deserialize, Serialize};

/// How the key-value service fails, if it does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// It answers.
    #[default]
    None,
    /// It refuses each call with status 503, without effect.
    Refusing,
    /// It closes each connection without an answer.
    Closing,
    /// It takes each call and never answers.
    Silent,
}

/// Faults of the key-value service, as `POST /faults` takes them; keys left out are without fault.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether and how it is down.
    pub outage: Outage,
    /// Time by which each call takes longer, in milliseconds.
    pub slow_ms: u64,
    /// Share of writes that take effect while their answer is lost, 0 to 1.
    pub lost_answers: f64,
}
