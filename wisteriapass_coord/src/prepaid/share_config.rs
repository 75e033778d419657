//! Configuration of share sizes.

/// How large shares are, and when their sealed part opens.
#[derive(Clone, Copy, Debug)]
pub struct ShareConfig {
    /// Demand that the open part covers, in milliseconds; longer than `seal_ms`, so that it lasts
    /// until the sealed part opens.
    pub open_demand_ms: u64,
    /// Demand that the sealed part covers, in milliseconds: the reserve for a long partition.
    pub sealed_demand_ms: u64,
    /// Time since the last write that may have reached the store after which the sealed part begins
    /// to open, in milliseconds.
    pub seal_ms: u64,
    /// Time from then on over which the sealed part opens evenly, in milliseconds. If it opened at
    /// once, a successor that starts shortly after would have to count all of it as lost.
    pub unseal_ms: u64,
    /// Time since the last report to a witness after which the witness no longer binds the router,
    /// in milliseconds. If it were shorter than a VM restart, no tokens would be recovered; it must
    /// not be longer than callers can go without service.
    pub witness_timeout_ms: u64,
    /// Largest fraction of the rest of a total that all routers together hold unspent. What they
    /// hold is lost if all of them are killed, and what they do not hold is unavailable in a
    /// partition.
    pub max_unspent_fraction: f64,
    /// Fraction of the rest of a total that is divided equally among routers without demand, so
    /// that the first request of an account does not wait for an exchange.
    pub idle_fraction: f64,
}

impl ShareConfig {
    /// Returns how much of a sealed part is open when the last write that may have reached the
    /// store is `age_ms` old, in tokens.
    pub fn unsealed(&self, sealed: u64, age_ms: u64) -> u64 {
        match age_ms.checked_sub(self.seal_ms) {
            None => 0,
            Some(opening_ms) if opening_ms < self.unseal_ms => sealed * opening_ms / self.unseal_ms,
            Some(_) => sealed,
        }
    }

    /// Returns the age of the last write that may have reached the store at which `tokens` of a
    /// sealed part are open, in milliseconds.
    pub fn unseals_at_ms(&self, sealed: u64, tokens: u64) -> u64 {
        self.seal_ms + (tokens * self.unseal_ms).div_ceil(sealed.max(1))
    }
}
