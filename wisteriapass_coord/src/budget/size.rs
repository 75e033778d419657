//! How much money a router takes and when it gives some back.
//!
//! Answers skewed and drifting draw: with one size for all, an idle router holds what a busy one
//! is refused for, or every request costs a write.

use crate::budget::Tokens;

/// Seconds of measured draw that a grant covers.
///
/// A write per budget, router and ten seconds keeps today's sizes well under 20 writes a second.
const GRANT_SECONDS: u64 = 10;

/// Smallest grant while the budget has plenty, in tokens: a few typical requests, so that the
/// first callers of an idle router do not cost a write each.
const SMALLEST_GRANT: Tokens = Tokens(4_000);

/// A grant is at most this part of the free money, unless the need is larger.
///
/// Grants shrink geometrically as the budget empties, so the last tokens stay where any router
/// can reach them.
const FREE_PART: u64 = 8;

/// A router refills when it holds less than this many seconds of its draw.
///
/// Longer than a slow answer of the service with one retry, so callers seldom wait for a grant.
const REFILL_SECONDS: u64 = 3;

/// A router gives back what exceeds this many seconds of its draw.
///
/// Twice the grant, so that a grant just taken is not given back when the draw dips.
const KEEP_SECONDS: u64 = 20;

/// Policy of grant sizes; pure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantSize {
    _private: (),
}

impl GrantSize {
    /// Creates the policy.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the grant for a router that needs `need` now and draws `draw_per_second`, when
    /// `free` is left: zero if the need exceeds what is free.
    pub fn grant(&self, need: Tokens, draw_per_second: Tokens, free: Tokens) -> Tokens {
        if need > free {
            return Tokens::ZERO;
        }
        let drawn = Tokens(draw_per_second.0.saturating_mul(GRANT_SECONDS));
        let wanted = drawn.max(SMALLEST_GRANT);
        let part = Tokens(free.0 / FREE_PART);
        wanted.min(part).max(need)
    }

    /// Returns whether a router that holds `held` should take a grant before it runs dry.
    pub fn should_refill(&self, held: Tokens, draw_per_second: Tokens) -> bool {
        !draw_per_second.is_zero() && held.0 < draw_per_second.0.saturating_mul(REFILL_SECONDS)
    }

    /// Returns what a router that holds `held` should give back, when `free` was left at its
    /// last exchange: all that is held when idle.
    pub fn surplus(&self, held: Tokens, draw_per_second: Tokens, free: Tokens) -> Tokens {
        if draw_per_second.is_zero() {
            return held;
        }
        let keep = Tokens(draw_per_second.0.saturating_mul(KEEP_SECONDS));
        let keep = keep.max(SMALLEST_GRANT);
        // With little left, a router keeps no more than a new grant would give it, so that the
        // others find money in the record.
        let scarce = Tokens(free.0.saturating_add(held.0) / FREE_PART);
        let least = Tokens(draw_per_second.0.saturating_mul(REFILL_SECONDS));
        held.saturating_sub(keep.min(scarce.max(least)))
    }
}
