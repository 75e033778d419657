//! Which target a request runs at.
//!
//! Answers uneven load. Without it (round robin) slow, full and cold targets get as much as the
//! rest (`loads --pattern slow --policy fcfs-round-robin`). All candidates are compared, since a
//! pool has tens, not thousands; the herd that the best choice usually draws is held by the
//! allowance of the load view and by a little noise, below the load of one request.

use rand::Rng;
use slotmap::SlotMap;

use crate::affinity::Hint;
use crate::target::Target;
use crate::{PolicyConfig, Priority, TargetKey, Time};
use crate::{affinity, headroom};

/// Noise added to each candidate's load, as a share of its slots.
const NOISE: f64 = 0.05;

/// Multiplier of a linear congruential sequence (Knuth's MMIX).
const NOISE_FACTOR: u64 = 6_364_136_223_846_793_005;

/// What the choice knows of the request and its pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choosing<'a> {
    pub(crate) now: Time,
    pub(crate) priority: Priority,
    /// Where the request's prefix is to be held, if it has one.
    pub(crate) home: Option<TargetKey>,
    /// Who was said to hold the prefix.
    pub(crate) holders: &'a [Hint],
    /// Routers that share the targets.
    pub(crate) routers: f64,
    /// Slots to keep for interactive work, as a share of all.
    pub(crate) reserve: f64,
    /// Whether this router has more than its share of the pool's slots.
    pub(crate) over_share: bool,
    /// Whether the request may try a target in re-entry.
    pub(crate) may_probe: bool,
    /// A target to leave out.
    pub(crate) except: Option<TargetKey>,
}

/// Returns the target that is to hold a prefix, the same at every router.
pub(crate) fn home(
    members: &[TargetKey],
    targets: &SlotMap<TargetKey, Target>,
    now: Time,
    prefix: u64,
    cfg: &PolicyConfig,
) -> Option<TargetKey> {
    let known = members.iter().filter_map(|&k| Some((k, targets.get(k)?)));
    let well = known.filter(|(_, t)| t.works(now, cfg));
    well.max_by_key(|(_, t)| affinity::rank(prefix, t.name_hash))
        .map(|(key, _)| key)
}

/// Returns the best target with room for the request, if any has.
pub(crate) fn choose(
    members: &[TargetKey],
    targets: &SlotMap<TargetKey, Target>,
    choosing: Choosing<'_>,
    cfg: &PolicyConfig,
    rng: &mut impl Rng,
) -> Option<TargetKey> {
    let open = || {
        members
            .iter()
            .filter_map(|&k| Some((k, targets.get(k)?)))
            .filter(|(_, t)| t.open())
    };
    // One random number is enough for the noise: each candidate sees other bits of it.
    let mut noise = rng.random::<u64>() | 1;
    let mut best: Option<(f64, TargetKey)> = None;
    for (key, target) in open().filter(|&(key, _)| choosing.except != Some(key)) {
        let at_home = choosing.home == Some(key);
        let load = target.load.load(choosing.now, choosing.routers, cfg);
        if !headroom::has_room(target, load, at_home, choosing, cfg) {
            continue;
        }
        let belief = affinity::belief(choosing.now, key, choosing.holders, cfg);
        let worth = affinity::worth(belief, at_home);
        let seeming = load.total / target.slots() * target.slowness(cfg) + target.distance(cfg);
        noise = noise.wrapping_mul(NOISE_FACTOR);
        let score = seeming + noise_of(noise) - worth * cfg.affinity_bonus;
        if best.is_none_or(|(least, _)| score < least) {
            best = Some((score, key));
        }
    }
    best.map(|(_, key)| key)
}

/// Returns a random number's part of a candidate's load.
fn noise_of(random: u64) -> f64 {
    NOISE * (random >> 32) as f64 / f64::from(u32::MAX)
}
