//! What a router has too little of for its load.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Link utilization above which a router is crowded: beyond it, the answers to several large
/// prompts that arrive together wait for each other.
const CROWDED_UTILIZATION: f64 = 0.85;

/// Minimum link utilization of a router whose calls are slow because of its own load. Slow calls of
/// an idle router mean that its peers are dead or cut off.
const MIN_BUSY_UTILIZATION: f64 = 0.05;

/// What a router has too little of for its load.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Crowding {
    /// The router carries its load.
    #[display("none")]
    None,
    /// Bandwidth.
    #[display("link")]
    Link,
    /// Probably processor time: small calls take long although the link is not full.
    #[display("processor")]
    Processor,
}

impl Crowding {
    /// Returns the state of a router with this link utilization and result of its
    /// [`OverloadDetector`](crate::overload::OverloadDetector).
    pub fn of(utilization: f64, is_overloaded: bool) -> Self {
        if utilization > CROWDED_UTILIZATION {
            return Self::Link;
        }
        if is_overloaded && utilization > MIN_BUSY_UTILIZATION {
            return Self::Processor;
        }
        Self::None
    }
}
