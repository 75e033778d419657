//! Rendezvous hashing: an order of the relays for each target, or anything else that is divided among
//! them, that all routers agree on.

use twox_hash::XxHash64;

/// Returns the position of a relay in a target's rendezvous order; `None` if it is not a relay.
///
/// All hashes come from [`placement::hash_name`](crate::placement::hash_name).
pub fn position(target: u64, own_hash: u64, relays: &[u64]) -> Option<usize> {
    if !relays.contains(&own_hash) {
        return None;
    }
    let own_rank = rank(target, own_hash);
    let higher_ranked = relays.iter().filter(|r| rank(target, **r) > own_rank);
    Some(higher_ranked.count())
}

/// Returns a relay's rank for a target; the highest comes first in the order.
pub fn rank(target: u64, relay: u64) -> (u64, u64) {
    (XxHash64::oneshot(target, &relay.to_le_bytes()), relay)
}
