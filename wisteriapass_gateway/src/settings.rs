//! What a router process is told at its start.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Bounds that the platform's operators set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time between the stop signal and the kill, in milliseconds.
    pub grace_ms: u64,
    /// Share of requests that may be sent again.
    pub retry_ratio: f64,
    /// Repeats allowed beside that share in a window, over all routers.
    pub retry_slack: f64,
    /// Length of that window, in milliseconds.
    pub retry_window_ms: u64,
    /// What a cold target gets at most, as a multiple of what it bears.
    pub cold_overshoot: f64,
    /// Requests a second that it may get beside that.
    pub cold_slack: f64,
}

impl Default for Bounds {
    /// Cautious figures for a platform that names none: half of what is usual for each.
    fn default() -> Self {
        Self {
            grace_ms: 5_000,
            retry_ratio: 0.1,
            retry_slack: 10.0,
            retry_window_ms: 10_000,
            cold_overshoot: 1.0,
            cold_slack: 0.0,
        }
    }
}

/// Part of a core from which on a VM carries others' shares with ease: a follower costs it a
/// thousandth.
const STRONG_CORES: f64 = 0.15;

/// The same for its link, in megabits a second: news of some thousand routes to all followers at once.
const STRONG_LINK_MBPS: f64 = 100.0;

/// What a VM has for its router; what is not told counts as plenty.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct VmSize {
    /// Part of a core, or cores.
    pub cores: Option<f64>,
    /// Bandwidth of its link, in megabits a second.
    pub link_mbps: Option<f64>,
}

impl VmSize {
    /// Returns whether it carries others' shares with ease.
    pub fn is_strong(&self) -> bool {
        let is_plenty = |has: Option<f64>, least| has.is_none_or(|has| has >= least);
        is_plenty(self.cores, STRONG_CORES) && is_plenty(self.link_mbps, STRONG_LINK_MBPS)
    }
}

/// Settings of one router.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of this process's VM.
    pub name: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Regions of the failure domains.
    pub regions: BTreeMap<String, String>,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address where readiness is asked for.
    pub readiness_listen: SocketAddr,
    /// Address where other routers call.
    pub peer_listen: SocketAddr,
    /// What its VM has.
    pub vm_size: VmSize,
    /// Bounds.
    pub bounds: Bounds,
}

impl GatewaySettings {
    /// Returns whether a failure domain lies in one of some regions; none named is any.
    pub fn is_in_regions(&self, domain: &str, regions: &[String]) -> bool {
        let region = self.regions.get(domain);
        regions.is_empty() || region.is_some_and(|region| regions.contains(region))
    }
}
