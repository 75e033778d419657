//! How much money a router takes and when it gives some back.
//!
//! Answers skewed and drifting draw and a service that is down for minutes: with one size for all,
//! an idle router holds what a busy one is refused for; with small grants, every router runs dry
//! soon after the service is gone; with large ones, the last money sits where nobody asks for it.

use crate::budget::Tokens;

/// Seconds of measured draw that a router holds while the budget has plenty.
///
/// Twice the longest outage of the service to be bridged, ten minutes: a router may be down to three
/// quarters of it, and the draw may exceed what was measured before.
const HOLD_SECONDS: u64 = 1_200;

/// Least that a router holds while the budget has plenty, in tokens: a few typical requests, so
/// that the first callers of an idle router do not cost a write each.
const LEAST_HELD: Tokens = Tokens(4_000);

/// A router holds at most this part of what it holds and what is free.
///
/// Holdings shrink in step with the budget: six routers leave half of it free, and the last tokens
/// stay where any router can reach them.
const PART: u64 = 8;

/// A router refills when it lacks more than this part of its target, so that each write moves a
/// worthwhile amount.
const REFILL_PART: u64 = 4;

/// A router gives back what exceeds this multiple of its target, so that a dip in the draw does not
/// send back what the next moment takes again.
const KEEP_TIMES: u64 = 2;

/// Seconds of draw below which a router refills whatever its target, and which it never gives back.
///
/// Longer than a slow answer of the service with one retry, so callers seldom wait for a grant.
const URGENT_SECONDS: u64 = 3;

/// Policy of grant sizes; pure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantPolicy {
    _private: (),
}

impl GrantPolicy {
    /// Creates the policy.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns what a router should hold that holds `held` and draws `draw_per_second`, when
    /// `free` is left.
    pub fn target(&self, held: Tokens, draw_per_second: Tokens, free: Tokens) -> Tokens {
        let by_draw = Tokens(draw_per_second.0.saturating_mul(HOLD_SECONDS));
        let by_part = Tokens(free.saturating_add(held).0 / PART);
        by_draw.max(LEAST_HELD).min(by_part)
    }

    /// Returns the grant for a router that needs `need` more than the `held` it has: zero if the
    /// need exceeds what is free.
    pub fn grant(
        &self,
        need: Tokens,
        held: Tokens,
        draw_per_second: Tokens,
        free: Tokens,
    ) -> Tokens {
        if need > free {
            return Tokens::ZERO;
        }
        let target = self.target(held, draw_per_second, free);
        target.saturating_sub(held).min(free).max(need)
    }

    /// Returns whether a router should take a grant before it runs dry, when `free` was left at
    /// its last exchange.
    pub fn should_refill(&self, held: Tokens, draw_per_second: Tokens, free: Tokens) -> bool {
        if draw_per_second.is_zero() || free.is_zero() {
            return false;
        }
        let target = self.target(held, draw_per_second, free);
        held.0 < target.0 - target.0 / REFILL_PART || held < urgent(draw_per_second)
    }

    /// Returns what a router that holds `held` should give back, when `free` was left at its
    /// last exchange: all that is held when idle.
    pub fn surplus(&self, held: Tokens, draw_per_second: Tokens, free: Tokens) -> Tokens {
        if draw_per_second.is_zero() {
            return held;
        }
        let target = self.target(held, draw_per_second, free);
        let keep = Tokens(target.0.saturating_mul(KEEP_TIMES));
        held.saturating_sub(keep.max(urgent(draw_per_second)))
    }
}

/// Returns what is drawn before a grant may come.
fn urgent(draw_per_second: Tokens) -> Tokens {
    Tokens(draw_per_second.0.saturating_mul(URGENT_SECONDS))
}
