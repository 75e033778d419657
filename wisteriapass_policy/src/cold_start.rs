//! How many requests a cold target gets, over all routers, without a call for any of them.
//!
//! A target that has just started bears few requests a second and crashes well above that. It is also
//! the target with the least under way, so routers that each place by what they see send it their
//! next requests at the same moment. Answers that load: a cold target has a few owners, the first
//! relays in its rendezvous order, and only they send to it, each no more than its ration. Routers may
//! differ for a while in who they take for a relay, and requests may be held up on their way, so all
//! owners by one view together use a third of what the target bears.

use std::collections::VecDeque;

use twox_hash::XxHash64;

use crate::Time;

/// Sets of owners that may send within one second: two views of the relays, and what was held up.
const OVERLAPPING_OWNER_SETS: f64 = 3.0;

/// Time in which an owner sends its ration once, in milliseconds: a second, and by how much requests
/// that leave one after the other come closer on their way.
const WINDOW_MS: u64 = 1_350;

/// What each owner of a cold target may send to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendQuota {
    /// Owners of each target.
    pub owners: usize,
    /// Requests that each of them may send in a window.
    pub per_owner: usize,
}

impl SendQuota {
    /// Returns the ration where a target bears `most_per_s` requests a second, and so many relays are
    /// known; it uses as much as it may, spread over as many relays as that allows.
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

/// Returns whether a relay is among the first `owners` in a target's order of the relays.
///
/// All hashes are by [`placement::hash`](crate::placement::hash); a router that is no relay owns
/// nothing.
pub fn is_owner(target: u64, own_hash: u64, relays: &[u64], owners: usize) -> bool {
    if !relays.contains(&own_hash) {
        return false;
    }
    let rank = |relay: u64| (XxHash64::oneshot(target, &relay.to_le_bytes()), relay);
    let own_rank = rank(own_hash);
    let higher_ranked = relays.iter().filter(|relay| rank(**relay) > own_rank);
    higher_ranked.count() < owners
}

/// When one router sent its last requests to a target.
#[derive(Clone, Debug, Default)]
pub struct SendLog {
    sent: VecDeque<Time>,
}

impl SendLog {
    /// Returns whether one more request keeps within a ration.
    pub fn may_send(&self, now: Time, per_owner: usize) -> bool {
        let recent = self.sent.iter().rev();
        let recent = recent.take_while(|at| now.millis_since(**at) < WINDOW_MS);
        recent.count() < per_owner
    }

    /// Notes a request that is sent now.
    pub fn record(&mut self, now: Time) {
        let has_expired = |at: &Time| now.millis_since(*at) >= WINDOW_MS;
        while self.sent.front().is_some_and(has_expired) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
