//! What an account's record leaves for one router.

use crate::prepaid::{ShareConfig, ShareRecord};

/// Factor by which the lost part of a total reduces what routers hold unspent. Routers that died
/// are the best predictor of further deaths, and what a router holds is lost when it dies.
const LOSS_WEIGHT: f64 = 4.0;

/// Least fraction of `max_unspent_fraction` that is held, however much was lost.
const MIN_HELD_FACTOR: f64 = 0.15;

/// What an account's record leaves for this router.
#[derive(Clone, Copy, Debug)]
pub(super) struct AllocationLimits {
    /// Granted to no router, in tokens.
    pub(super) unallocated: u64,
    /// Fraction of each router's wish that can be met.
    pub(super) wish_scale: f64,
    /// Share of a router without demand, in tokens.
    pub(super) idle_share: u64,
}

impl AllocationLimits {
    pub(super) fn new(
        record: &ShareRecord,
        account: &str,
        total: u64,
        config: &ShareConfig,
    ) -> Self {
        let remaining = total.saturating_sub(record.used_or_lost(account)) as f64;
        let wishes = record.total_wish(account).max(1) as f64;
        let holders = record.holder_entries().count().max(1) as f64;
        let lost = record.lost(account) as f64 / total.max(1) as f64;
        let max_unspent =
            config.max_unspent_fraction * (1.0 - LOSS_WEIGHT * lost).max(MIN_HELD_FACTOR);
        Self {
            unallocated: total.saturating_sub(record.granted(account)),
            wish_scale: (remaining * max_unspent / wishes).min(1.0),
            idle_share: (remaining * config.idle_fraction / holders) as u64,
        }
    }

    /// Sets whether a router without demand holds a share.
    pub(super) fn with_idle_share(self, holds_idle: bool) -> Self {
        let idle_share = if holds_idle { self.idle_share } else { 0 };
        Self { idle_share, ..self }
    }
}
