//! Limits requests to a cold target across all routers, without coordination per request.
//!
//! A newly started target handles few requests per second and crashes well above that rate. It also
//! has the fewest requests in flight, so routers that each choose by their own view would all send
//! it their next requests at once. To prevent that, a cold target has a few owners: the first
//! relays in its rendezvous order. Only owners send to it, each within its quota. Routers may
//! briefly disagree on the list of relays, and requests may be delayed in transit, so the owners
//! under one view together use a third of the target's rate.

use crate::rendezvous::position;

/// Owner sets that may send within one second: two views of the relay list, and requests delayed in
/// transit.
const OVERLAPPING_OWNER_SETS: f64 = 3.0;

/// Window for one quota of an owner, in milliseconds: one second, plus the amount by which requests
/// sent one after the other may move closer in transit.
pub const WINDOW_MS: u64 = 1_350;

/// Number of requests that each owner may send to a cold target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendQuota {
    /// Owners per target.
    pub owners: usize,
    /// Requests that each owner may send per window.
    pub per_owner: usize,
}

impl SendQuota {
    /// Returns the quota for a target that handles `max_per_s` requests per second, with this many
    /// known relays. It uses as much of the budget as possible, spread over as many relays as that
    /// allows.
    pub fn new(max_per_s: f64, relays: usize) -> Self {
        let budget = (max_per_s / OVERLAPPING_OWNER_SETS).max(0.0) as usize;
        let quotas = (1..=relays.min(budget)).map(|owners| Self {
            owners,
            per_owner: budget / owners,
        });
        quotas
            .max_by_key(|r| (r.owners * r.per_owner, r.owners))
            .unwrap_or_default()
    }
}

/// Returns whether a relay is among the first `owners` relays in a target's rendezvous order.
///
/// All hashes come from [`placement::hash_name`](crate::placement::hash_name). A router that is not
/// a relay owns no targets.
pub fn is_owner(target: u64, own_hash: u64, relays: &[u64], owners: usize) -> bool {
    position(target, own_hash, relays).is_some_and(|at| at < owners)
}
