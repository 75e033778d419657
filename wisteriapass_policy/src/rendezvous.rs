//! Rendezvous hashing: an order of the relays for each target that all routers agree on.

use twox_hash::XxHash64;

/// Returns the position of a relay in a target's rendezvous order; `None` if it is not a relay.
///
/// All hashes come from [`placement::hash_name`](crate::placement::hash_name).
pub fn position(target: u64, own_hash: u64, relays: &[u64]) -> Option<usize> {
    if !relays.contains(&own_hash) {
        return None;
    }
    let rank = |relay: u64| (XxHash64::oneshot(target, &relay.to_le_bytes()), relay);
    let own_rank = rank(own_hash);
    let higher_ranked = relays.iter().filter(|relay| rank(**relay) > own_rank);
    Some(higher_ranked.count())
}
