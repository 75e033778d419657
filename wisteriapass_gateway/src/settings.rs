//! What a router process is told at its start.

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
}

impl Default for Bounds {
    /// Cautious figures for a platform that names none: half of what is usual for each.
    fn default() -> Self {
        Self {
            grace_ms: 5_000,
            retry_ratio: 0.1,
            retry_slack: 10.0,
            retry_window_ms: 10_000,
        }
    }
}

/// Settings of one router.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of this process's VM.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address where readiness is asked for.
    pub ready: SocketAddr,
    /// Address where other routers borrow shares.
    pub lending: SocketAddr,
    /// Bounds.
    pub bounds: Bounds,
}
