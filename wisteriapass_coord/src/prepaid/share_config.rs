//! Configuration of share sizes.

use crate::prepaid::Opening;

/// How large shares are, and when their sealed part opens.
#[derive(Clone, Copy, Debug)]
pub struct ShareConfig {
    /// Demand that the open part covers, in milliseconds. It may be spent at any time, and is lost
    /// with its router even if witnesses answer.
    pub open_demand_ms: u64,
    /// Demand that the sealed part covers, in milliseconds. What `opening` opens at any age has to
    /// last until the rest begins to open; the rest is the reserve for a long partition.
    pub sealed_demand_ms: u64,
    /// When the sealed part opens.
    pub opening: Opening,
    /// Time since the last write that may have reached the store after which the store counts as
    /// unreachable, in milliseconds.
    pub out_of_contact_ms: u64,
    /// Demand beyond what is spent that witnesses are asked to acknowledge while the store answers,
    /// in milliseconds. It covers the time until the next report; what of it is not spent is lost
    /// if the router dies.
    pub headroom_ms: u64,
    /// The same while the store is unreachable.
    pub partition_headroom_ms: u64,
    /// Largest fraction of a total that should be spendable beyond what is spent without the
    /// router's death losing it. The headroom stays within it while the store answers.
    pub max_unproved_fraction: f64,
    /// Time since the last report to a witness after which the witness no longer binds the router,
    /// in milliseconds. If it were shorter than a VM restart, no tokens would be recovered; it must
    /// not be longer than callers can go without service.
    pub witness_timeout_ms: u64,
    /// Multiple of the largest recent request that a share holds besides the demand.
    pub largest_request_factor: f64,
    /// Largest fraction of the rest of a total that all routers together hold unspent. What they
    /// hold is lost if all of them are killed, and what they do not hold is unavailable in a
    /// partition.
    pub max_unspent_fraction: f64,
    /// Fraction of the rest of a total that is divided equally among routers without demand, so
    /// that the first request of an account does not wait for an exchange.
    pub idle_fraction: f64,
}

impl ShareConfig {
    /// Returns the demand that is covered at any age of the last write if no witness binds, in
    /// milliseconds.
    pub fn open_at_any_age_ms(&self) -> u64 {
        self.open_demand_ms + self.opening.unsealed(self.sealed_demand_ms, 0)
    }
}
