//! Reports of routers to the coordinator of their failure domain.

use serde::{Deserialize, Serialize};

use super::{Crowding, HeldStanding, MarkAge, Phase};

/// Largest number of routers of a failure domain that is plausible.
const MAX_DOMAIN_SIZE: u32 = 10_000;

/// A router's report to the coordinator of its failure domain. It contains everything from which
/// another coordinator restores the state of the previous one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouterReport {
    /// Name of the router's VM.
    pub router: String,
    /// Identity of the router's process.
    pub process: u64,
    /// Bandwidth of the VM's link, in Mbit/s.
    pub link_mbps: f64,
    /// Number of the VM's cores, if known.
    pub cores: Option<f64>,
    /// Used fraction of the link.
    pub utilization: f64,
    /// Whether the load exceeds the capacity of the VM.
    pub crowding: Crowding,
    /// Phase of the process.
    pub phase: Phase,
    /// Standing in force, if a coordinator decided it.
    pub held: Option<HeldStanding>,
    /// The router's last mark, if any.
    pub mark: Option<MarkAge>,
    /// Whether the router's failure domain left rotation.
    pub is_domain_out: bool,
    /// Number of routers of the failure domain that the last coordinator knew.
    pub domain_size: u32,
    /// Time until the next report, in milliseconds.
    pub next_ms: u64,
}

impl RouterReport {
    /// Returns whether the values can come from a router.
    pub fn is_plausible(&self) -> bool {
        let is_positive = self.link_mbps.is_finite() && self.link_mbps > 0.0;
        is_positive && self.utilization >= 0.0 && self.domain_size <= MAX_DOMAIN_SIZE
    }
}
