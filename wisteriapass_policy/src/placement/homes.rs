//! The targets that keep a shared prompt part.

use std::cmp::Reverse;

use smallvec::SmallVec;

use super::{Candidate, seeded_hash};
use crate::target_speed::SLOW_FACTOR;

/// Hashes of the first two targets in the rendezvous order of a prefix, which is the same at all
/// routers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Homes {
    pub first: u64,
    pub second: u64,
}

impl Homes {
    /// Returns the homes of a prefix. A target that is lastingly slower than the next one in the
    /// order is skipped; routers that know the same lasting factors skip the same targets.
    pub fn new<K>(candidates: &[Candidate<K>], prefix: u64) -> Self {
        let ranked = candidates
            .iter()
            .map(|c| (seeded_hash(c.hash, prefix), c.hash, c.lasting_slowness));
        let mut ranked: SmallVec<[(u64, u64, f64); 32]> = ranked.collect();
        ranked.sort_unstable_by_key(|(rank, hash, _)| Reverse((*rank, *hash)));
        let mut homes = ranked.iter().enumerate().filter(|(i, (_, _, slowness))| {
            let next = ranked.get(i + 1);
            next.is_none_or(|(_, _, next)| *slowness <= SLOW_FACTOR * next)
        });
        let mut next_home = || homes.next().map_or(0, |(_, (_, hash, _))| *hash);
        Self {
            first: next_home(),
            second: next_home(),
        }
    }
}
