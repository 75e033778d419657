//! How large shares are.

/// How large shares are, and when a sealed part opens.
#[derive(Clone, Copy, Debug)]
pub struct ShareConfig {
    /// Draw that the open part covers, in milliseconds: has to outlast `seal_ms`.
    pub open_demand_ms: u64,
    /// Draw that the sealed part covers, in milliseconds: what is left of a long cut.
    pub sealed_demand_ms: u64,
    /// Time since the last write that may have reached the service after which the sealed part
    /// opens, in milliseconds.
    pub seal_ms: u64,
    /// Time since the last report to a witness after which it binds no more, in milliseconds:
    /// longer than a VM is down for, or nothing is saved; no longer than callers can go without.
    pub witness_timeout_ms: u64,
    /// Part of what is left of a total that all routers together hold unspent at the most: what
    /// they hold is lost if all of them are killed, and what they don't is not there in a cut.
    pub max_unspent_fraction: f64,
    /// Part of what is left that a router without draw holds, divided by the routers: the first
    /// request of an account does not wait for an exchange.
    pub idle_fraction: f64,
}

impl ShareConfig {
    /// Returns what of a sealed part is open at an age of the last write that may have reached the
    /// service, in tokens.
    pub fn unsealed(&self, sealed: u64, age_ms: u64) -> u64 {
        if age_ms < self.seal_ms {
            return 0;
        }
        sealed
    }
}
