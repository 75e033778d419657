//! Settings of a router process.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Bounds set by the operators of the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time between the stop signal and the kill, in milliseconds.
    pub grace_ms: u64,
    /// Fraction of requests that may be retried.
    pub retry_ratio: f64,
    /// Retries permitted in addition to that fraction in a window, over all routers.
    pub retry_slack: f64,
    /// Length of that window, in milliseconds.
    pub retry_window_ms: u64,
    /// Maximum load of a cold target, as a multiple of what it can take.
    pub cold_overshoot: f64,
    /// Requests per second that a cold target may get in addition.
    pub cold_slack: f64,
}

impl Default for Bounds {
    /// Cautious values for a platform that sets none: half of the usual value of each.
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

/// Minimum number of cores with which a VM easily carries the shares of other routers; each of
/// these followers takes a thousandth of a core.
const STRONG_CORES: f64 = 0.15;

/// Minimum link bandwidth with which a VM easily carries the shares of other routers, in Mbit/s;
/// changes of some thousand routes are sent to all followers at once.
const STRONG_LINK_MBPS: f64 = 100.0;

/// Memory to assume for a process if it is not known, in MB: that of a small VM.
const DEFAULT_MEMORY_MB: u64 = 160;

/// Resources that a VM has for its router; unknown resources count as sufficient.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct VmSize {
    /// Number of cores, which may be a fraction.
    pub cores: Option<f64>,
    /// Bandwidth of the link, in Mbit/s.
    pub link_mbps: Option<f64>,
    /// Memory for one process, in MB.
    pub memory_mb: Option<u64>,
    /// Number of file descriptors for one process.
    pub descriptors: Option<u64>,
}

impl VmSize {
    /// Returns the memory for one process, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        self.memory_mb
            .unwrap_or(DEFAULT_MEMORY_MB)
            .saturating_mul(1_000_000)
    }

    /// Returns the maximum number of callers' connections, if the number of descriptors is known: a
    /// fourth of them is for targets, the store and other routers.
    pub fn max_connections(&self) -> Option<u64> {
        self.descriptors.map(|count| count / 4 * 3)
    }

    /// Returns the bandwidth of the link, in Mbit/s, if it is known and in range.
    pub fn measurable_mbps(&self) -> Option<f64> {
        self.link_mbps
            .filter(|mbps| mbps.is_finite() && *mbps > 0.0)
    }

    /// Returns whether the VM easily carries the shares of other routers.
    pub fn is_strong(&self) -> bool {
        let is_sufficient = |has: Option<f64>, least| has.is_none_or(|has| has >= least);
        is_sufficient(self.cores, STRONG_CORES) && is_sufficient(self.link_mbps, STRONG_LINK_MBPS)
    }
}

/// Settings of one router.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of the VM that this process runs on.
    pub name: String,
    /// Failure domain of this VM.
    pub failure_domain: String,
    /// Region of each failure domain.
    pub regions: BTreeMap<String, String>,
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address for readiness probes.
    pub readiness_listen: SocketAddr,
    /// Address for calls from other routers.
    pub peer_listen: SocketAddr,
    /// Resources of this VM.
    pub vm_size: VmSize,
    /// Bounds set by the operators of the platform.
    pub bounds: Bounds,
}

impl GatewaySettings {
    /// Returns whether a failure domain is in one of the given regions; always `true` if none are
    /// given.
    pub fn is_in_regions(&self, domain: &str, regions: &[String]) -> bool {
        let region = self.regions.get(domain);
        regions.is_empty() || region.is_some_and(|region| regions.contains(region))
    }
}
