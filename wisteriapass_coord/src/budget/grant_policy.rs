//! Policy for the sizes of grants and for when routers return tokens.
//!
//! It handles usage that differs between routers and changes over time, and store outages of
//! minutes. With a fixed grant size, an idle router would hold tokens that a busy one is refused.
//! With small grants, every router would run out soon after the store becomes unreachable. With
//! large grants, the last tokens would be held by routers that receive no requests for them.

use crate::budget::Tokens;

/// Seconds of measured usage that a router holds while the budget is large enough.
///
/// The longest store outage to be bridged is ten minutes. The target is twice that, because at the
/// start of the outage a router may be down to three quarters of its target, and usage may rise
/// above the measured one.
const TARGET_SECONDS: u64 = 1_200;

/// Minimum that a router holds while the budget is large enough: a few typical requests, so that
/// the first requests to an idle router do not cost a write each.
const MIN_TARGET: Tokens = Tokens(4_000);

/// A router holds at most the sum of its own and the free tokens, divided by this.
///
/// Holdings thus shrink in proportion to the budget: six routers leave half of it free, and the
/// last tokens stay free for any router.
const SHARE_DIVISOR: u64 = 8;

/// A router requests a refill when it lacks more than its target divided by this, so that each
/// write moves a worthwhile amount.
const REFILL_DIVISOR: u64 = 4;

/// A router returns what exceeds its target multiplied by this, so that a short dip in usage does
/// not return tokens that are requested again right after.
const SURPLUS_FACTOR: u64 = 2;

/// Seconds of usage below which a router requests a refill regardless of its target, and which it
/// never returns.
///
/// This is longer than a slow response of the store with one retry, so callers seldom wait for a
/// grant.
const MIN_SECONDS: u64 = 3;

/// Policy of grant sizes, without state or I/O.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantPolicy {
    _private: (),
}

impl GrantPolicy {
    /// Creates the policy.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the amount that a router should hold if it holds `held` and uses `usage_per_second`
    /// while `free` of the budget is granted to no router.
    pub fn target(&self, held: Tokens, usage_per_second: Tokens, free: Tokens) -> Tokens {
        let by_usage = Tokens(usage_per_second.0.saturating_mul(TARGET_SECONDS));
        let by_share = Tokens(free.saturating_add(held).0 / SHARE_DIVISOR);
        by_usage.max(MIN_TARGET).min(by_share)
    }

    /// Returns the grant for a router that needs at least `need` in addition to `held`: zero if
    /// `need` exceeds `free`.
    pub fn grant(
        &self,
        need: Tokens,
        held: Tokens,
        usage_per_second: Tokens,
        free: Tokens,
    ) -> Tokens {
        if need > free {
            return Tokens::ZERO;
        }
        let target = self.target(held, usage_per_second, free);
        target.saturating_sub(held).min(free).max(need)
    }

    /// Returns whether a router should request a grant before it runs out; `free` is the amount
    /// that was granted to no router at its last exchange with the store.
    pub fn should_refill(&self, held: Tokens, usage_per_second: Tokens, free: Tokens) -> bool {
        if usage_per_second.is_zero() || free.is_zero() {
            return false;
        }
        let target = self.target(held, usage_per_second, free);
        held.0 < target.0 - target.0 / REFILL_DIVISOR || held < min_held(usage_per_second)
    }

    /// Returns the amount of `held` that a router should return; `free` is the amount that was
    /// granted to no router at its last exchange with the store. An idle router returns everything.
    pub fn surplus(&self, held: Tokens, usage_per_second: Tokens, free: Tokens) -> Tokens {
        if usage_per_second.is_zero() {
            return held;
        }
        let target = self.target(held, usage_per_second, free);
        let keep = Tokens(target.0.saturating_mul(SURPLUS_FACTOR));
        held.saturating_sub(keep.max(min_held(usage_per_second)))
    }
}

/// Returns the usage until a requested grant may arrive.
fn min_held(usage_per_second: Tokens) -> Tokens {
    Tokens(usage_per_second.0.saturating_mul(MIN_SECONDS))
}
