//! One router's share of one account in memory, and how large the share should be.

use crate::prepaid::allocation_limits::AllocationLimits;
use crate::prepaid::unserved_requests::UnservedRequests;
use crate::prepaid::{AccountStatus, DemandMeter, Share, ShareConfig};

/// Divisor of the target share that gives how far a share may exceed its target before part of it
/// is returned. A router that returned tokens at every exchange would request them again at the
/// next.
const RETURN_DIVISOR: u64 = 4;

/// Divisor that gives the low-water mark: an exchange is due once less than this part of what was
/// spendable after the last exchange is left.
const LOW_WATER_DIVISOR: u64 = 3;

/// Divisor that gives how far the unproved part has to exceed what an exchange would leave. What a
/// share may exceed its target by without a return is less, so that one exchange is enough.
const EXCESS_DIVISOR: u64 = 2;

/// Divisor of the open wish that gives how much is borrowed beyond what is needed. The unspent rest
/// of a loan is lost if its borrower dies, and a larger loan saves few calls.
const EXTRA_LOAN_DIVISOR: u64 = 4;

/// Divisor of the headroom that gives the low-water mark: a report is due once less than this part
/// of the headroom is acknowledged and unspent.
const LOW_HEADROOM_DIVISOR: u64 = 2;

/// State of one account on this router.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AccountShare {
    pub(super) share: Share,
    /// Limit up to which the share may be spent at any time, in tokens. Of all records that the
    /// store may hold, none lets a successor reclaim any of it.
    pub(super) open_limit: u64,
    /// Known to have been spent by predecessors on this VM, in tokens.
    pub(super) predecessor_used: u64,
    /// May have been spent by predecessors beyond that, in tokens.
    pub(super) lost: u64,
    /// Whether the spending of predecessors was read from the record.
    pub(super) is_initialized: bool,
    /// Borrowed from other routers so far, in tokens; they count it as spent.
    pub(super) borrowed: u64,
    /// Settled or lent by this process, in tokens.
    pub(super) used: u64,
    /// Reserved by requests in progress, in tokens.
    pub(super) reserved: u64,
    /// Requests that the share did not cover and that no composed record contains yet.
    pub(super) unserved: UnservedRequests,
    /// Requests that the share did not cover and that the composed record contains.
    unserved_in_write: UnservedRequests,
    /// Needed by requests in progress that wait for the receipts of witnesses, in tokens.
    pub(super) awaiting_receipts: u64,
    /// Spendable after the last exchange, in tokens.
    pub(super) spendable_after_exchange: u64,
    /// Known to be granted to, and spent by, other routers, in tokens.
    pub(super) others_granted: u64,
    pub(super) others_used: u64,
    /// May have been spent by other VMs' dead routers, in tokens; how much is unknown.
    pub(super) others_lost: u64,
    pub(super) demand: DemandMeter,
}

impl AccountShare {
    /// Returns what is spent of the share, or reserved by requests in progress, in tokens.
    pub(super) fn spent(&self) -> u64 {
        let own = self.used + self.reserved;
        self.predecessor_used + self.lost + own.saturating_sub(self.borrowed)
    }

    /// Returns what is known to be spent of the share, in tokens. Loans are spent before the share.
    pub(super) fn used(&self) -> u64 {
        self.predecessor_used + self.used.saturating_sub(self.borrowed)
    }

    /// Returns what all routers are known to have spent or reserved, in tokens.
    pub(super) fn known_used(&self) -> u64 {
        self.spent() - self.lost + self.others_used
    }

    /// Returns what can be reserved if the share may be spent up to `limit`, in tokens.
    pub(super) fn spendable(&self, limit: u64) -> u64 {
        let limit = limit.min(self.share.granted);
        limit.saturating_sub(self.spent()) + self.unspent_loans()
    }

    /// Returns the spending limit when the last write is `age_ms` old, in tokens.
    pub(super) fn limit_at_age(&self, age_ms: u64, config: &ShareConfig) -> u64 {
        let sealed = self.share.granted.saturating_sub(self.open_limit);
        self.open_limit + config.opening.unsealed(sealed, age_ms)
    }

    /// Returns the age of the last write at which `max_cost` tokens can be reserved, in milliseconds;
    /// `None` if the whole share does not cover them.
    pub(super) fn unseals_at_ms(&self, max_cost: u64, config: &ShareConfig) -> Option<u64> {
        let sealed = self.share.granted.saturating_sub(self.open_limit);
        let uncovered = max_cost.saturating_sub(self.spendable(self.open_limit));
        let fits = self.spendable(self.share.granted) >= max_cost;
        fits.then(|| config.opening.unseals_at_ms(sealed, uncovered))
    }

    /// Returns the spending limit that witnesses are asked to acknowledge, in tokens.
    pub(super) fn requested_limit(
        &self,
        now_ms: u64,
        total: u64,
        in_contact: bool,
        config: &ShareConfig,
    ) -> u64 {
        let needed = self.awaiting_receipts + self.headroom(now_ms, total, in_contact, config);
        (self.spent() + needed).min(self.share.granted)
    }

    /// Returns how much beyond what is spent witnesses are asked to acknowledge in advance, in
    /// tokens.
    fn headroom(&self, now_ms: u64, total: u64, in_contact: bool, config: &ShareConfig) -> u64 {
        let demand = self.demand.tokens_per_second(now_ms) / 1_000.0;
        if in_contact {
            let bound = total as f64 * config.max_unproved_fraction;
            return (demand * config.headroom_ms as f64).min(bound) as u64;
        }
        let largest = config.largest_request_factor / 2.0 * self.demand.recent_max(now_ms);
        (demand * config.partition_headroom_ms as f64 + largest) as u64
    }

    /// Returns whether so little of the headroom is left under `limit` that the next report is due.
    pub(super) fn is_headroom_low(
        &self,
        now_ms: u64,
        total: u64,
        limit: u64,
        in_contact: bool,
        config: &ShareConfig,
    ) -> bool {
        let unspent = limit.saturating_sub(self.spent());
        LOW_HEADROOM_DIVISOR * unspent < self.headroom(now_ms, total, in_contact, config)
    }

    /// Returns all requests that the share did not cover since the last exchange.
    fn all_unserved(&self) -> UnservedRequests {
        self.unserved.and(self.unserved_in_write)
    }

    /// Returns the unspent part of the loans, in tokens.
    pub(super) fn unspent_loans(&self) -> u64 {
        self.borrowed.saturating_sub(self.used + self.reserved)
    }

    /// Returns how much should be unspent for the current demand, in tokens.
    pub(super) fn wish(&self, now_ms: u64, config: &ShareConfig) -> u64 {
        let cover_ms = (config.open_demand_ms + config.sealed_demand_ms) as f64;
        let demand = self.demand.tokens_per_second(now_ms) / 1_000.0;
        let largest = config.largest_request_factor * self.demand.recent_max(now_ms);
        (demand * cover_ms + largest) as u64
    }

    /// Returns the part of the wish that is open at any age of the last write, in tokens.
    pub(super) fn open_wish(&self, now_ms: u64, config: &ShareConfig) -> u64 {
        let demand = self.demand.tokens_per_second(now_ms) / 1_000.0;
        let largest = config.largest_request_factor / 2.0 * self.demand.recent_max(now_ms);
        (demand * config.open_at_any_age_ms() as f64 + largest) as u64
    }

    /// Returns whether an exchange is due: a request waits for it, or little is left that can be
    /// spent up to `limit`. An exchange covers all requests that it contains, unless nothing is left
    /// unallocated.
    pub(super) fn is_due(&self, total: u64, limit: u64) -> bool {
        let is_low = LOW_WATER_DIVISOR * self.spendable(limit) < self.spendable_after_exchange;
        let has_unallocated = self.others_granted + self.share.granted < total;
        let is_waiting = self.all_unserved().largest > 0;
        has_unallocated && (is_waiting || is_low)
    }

    /// Returns what may be spent up to `limit` and is not, in tokens. If this process died, no
    /// successor could prove that it is unspent.
    pub(super) fn unproved(&self, limit: u64) -> u64 {
        limit.min(self.share.granted).saturating_sub(self.spent())
    }

    /// Returns whether the unproved part exceeds its bound and an exchange makes it smaller by more
    /// than is returned otherwise. `open_ms` is the demand that may be spent after the exchange.
    pub(super) fn is_unproved_part_too_large(
        &self,
        now_ms: u64,
        total: u64,
        limit: u64,
        open_ms: u64,
        config: &ShareConfig,
    ) -> bool {
        let unproved = self.unproved(limit);
        if unproved as f64 <= total as f64 * config.max_unproved_fraction {
            return false;
        }
        let demand = self.demand.tokens_per_second(now_ms) / 1_000.0;
        let wish = self.wish(now_ms, config);
        // What witnesses acknowledged stays spendable as far as the share covers it.
        let acknowledged = limit.saturating_sub(self.open_limit.max(self.spent()));
        let after = ((demand * open_ms as f64) as u64).max(acknowledged.min(wish));
        unproved > after + after / EXCESS_DIVISOR
    }

    /// Returns the least that has to be borrowed so that `max_cost` fits, and the preferred amount,
    /// in tokens.
    pub(super) fn loan_amounts(
        &self,
        now_ms: u64,
        max_cost: u64,
        limit: u64,
        config: &ShareConfig,
    ) -> (u64, u64) {
        let min_tokens = max_cost.saturating_sub(self.spendable(limit));
        (
            min_tokens,
            min_tokens + self.open_wish(now_ms, config) / EXTRA_LOAN_DIVISOR,
        )
    }

    /// Adopts the share that the store holds, and the sums over all routers.
    pub(super) fn adopt(
        &mut self,
        share: Share,
        (granted, used, lost): (u64, u64, u64),
        config: &ShareConfig,
    ) {
        self.share = share;
        self.open_limit = share.granted - share.sealed.min(share.granted);
        self.others_granted = granted - share.granted;
        self.others_used = used - share.used;
        self.others_lost = lost - share.lost;
        self.spendable_after_exchange = self.spendable(self.limit_at_age(0, config));
        self.unserved_in_write = UnservedRequests::default();
        // Requests that came during the write are not part of it.
        if self.unserved.tokens() <= self.spendable_after_exchange {
            self.unserved = UnservedRequests::default();
        }
    }

    /// Returns the share without its unspent part.
    pub(super) fn return_unspent(&mut self, mut share: Share) -> Share {
        share.used = self.spent() - self.lost;
        share.granted = self.spent().min(share.granted);
        share.sealed = 0;
        share.wish = 0;
        self.share = share;
        self.open_limit = share.granted;
        share
    }

    /// Returns the status for logs.
    pub(super) fn account_status(&self, total: Option<u64>, limit: u64) -> AccountStatus {
        AccountStatus {
            total,
            granted: self.share.granted,
            spent: self.spent(),
            lost: self.lost,
            sealed: self.share.granted.saturating_sub(limit),
            unproved: self.unproved(limit),
            others_granted: self.others_granted,
            others_used: self.others_used,
            others_lost: self.others_lost,
        }
    }

    /// Moves a share towards its target size, within the unallocated part of the total.
    pub(super) fn update_share(
        &mut self,
        config: &ShareConfig,
        share: &mut Share,
        limits: AllocationLimits,
    ) {
        let spent = self.spent();
        let unspent_target =
            ((share.wish as f64 * limits.wish_scale) as u64).max(limits.idle_share);
        let unspent_target = unspent_target.saturating_sub(self.unspent_loans());
        self.unserved_in_write = self.all_unserved();
        self.unserved = UnservedRequests::default();
        let unserved = self.unserved_in_write.tokens();
        let target = spent + unserved + unspent_target;
        share.used = self.used();
        if target >= share.granted {
            share.granted = target.min(share.granted + limits.unallocated);
        } else if share.granted - target > unspent_target / RETURN_DIVISOR {
            share.granted = target;
        }
        let unspent = share.granted.saturating_sub(spent + unserved);
        let sealed_fraction = config.sealed_demand_ms as f64
            / (config.open_demand_ms + config.sealed_demand_ms).max(1) as f64;
        share.sealed = (unspent as f64 * sealed_fraction) as u64;
        self.share.granted = self.share.granted.min(share.granted);
        self.open_limit = self.open_limit.min(share.granted - share.sealed);
    }
}
