//! Requests for the consent of another failure domain.

use serde::{Deserialize, Serialize};

/// Asks the coordinator of another failure domain to consent that a domain leaves rotation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExitCall {
    /// The domain that wants to leave, or is out.
    pub domain: String,
    /// Whether it is out.
    pub is_out: bool,
    /// Bandwidth of its weakest router, in Mbit/s.
    pub weakest_mbps: f64,
}

impl ExitCall {
    /// Returns whether the values can come from a coordinator.
    pub fn is_plausible(&self) -> bool {
        self.weakest_mbps.is_finite() && self.weakest_mbps > 0.0
    }
}
