//! Selects the target of a request.
//!
//! Handles uneven load. Without it (round robin) slow, full and cold targets get as many requests
//! as the rest (`loads --pattern slow --policy fcfs-round-robin`). All candidates are compared,
//! since a pool has tens of targets and not thousands. The herding that choosing the best target
//! usually causes is prevented by the allowance in `load_view` and by a little noise, below the
//! load of one request.

use rand::Rng;
use slotmap::SlotMap;

use crate::affinity::CacheHint;
use crate::target::Target;
use crate::{PolicyConfig, Priority, TargetKey, Time};
use crate::{affinity, headroom};

/// Noise added to each candidate's load, as a share of its slots.
const NOISE: f64 = 0.05;

/// Multiplier of a linear congruential generator (Knuth's MMIX).
const NOISE_FACTOR: u64 = 6_364_136_223_846_793_005;

/// The request and the state of its pool, as target selection sees them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SelectionContext<'a> {
    pub(crate) now: Time,
    pub(crate) priority: Priority,
    /// Home target of the request's prefix, if it has one.
    pub(crate) home: Option<TargetKey>,
    /// Targets that reported holding the prefix.
    pub(crate) holders: &'a [CacheHint],
    /// Routers that share the targets.
    pub(crate) routers: f64,
    /// Slots reserved for interactive work, as a share of all.
    pub(crate) reserved_share: f64,
    /// Whether this router uses more than its share of the pool's slots.
    pub(crate) over_share: bool,
    /// Whether the request may be sent to a target in re-entry.
    pub(crate) may_probe: bool,
    /// Target to exclude.
    pub(crate) excluded: Option<TargetKey>,
}

/// Returns the home target of a prefix, which is the same at every router.
pub(crate) fn home_target(
    members: &[TargetKey],
    targets: &SlotMap<TargetKey, Target>,
    now: Time,
    prefix: u64,
    cfg: &PolicyConfig,
) -> Option<TargetKey> {
    let known = members.iter().filter_map(|&k| Some((k, targets.get(k)?)));
    let usable = known.filter(|(_, t)| t.is_usable(now, cfg));
    usable
        .max_by_key(|(_, t)| affinity::rendezvous_weight(prefix, t.name_hash))
        .map(|(key, _)| key)
}

/// Returns the best target with headroom for the request, if any.
pub(crate) fn select_target(
    members: &[TargetKey],
    targets: &SlotMap<TargetKey, Target>,
    context: SelectionContext<'_>,
    cfg: &PolicyConfig,
    rng: &mut impl Rng,
) -> Option<TargetKey> {
    let candidates = || {
        members
            .iter()
            .filter_map(|&k| Some((k, targets.get(k)?)))
            .filter(|(_, t)| t.accepts_requests())
    };
    // One random number provides enough noise: each candidate uses different bits of it.
    let mut noise = rng.random::<u64>() | 1;
    let mut best: Option<(f64, TargetKey)> = None;
    for (key, target) in candidates().filter(|&(key, _)| context.excluded != Some(key)) {
        let at_home = context.home == Some(key);
        let load = target.load.load(context.now, context.routers, cfg);
        if !headroom::has_headroom(target, load, at_home, context, cfg) {
            continue;
        }
        let confidence = affinity::hint_confidence(context.now, key, context.holders, cfg);
        let cache_score = affinity::cache_score(confidence, at_home);
        let apparent_load =
            load.total / target.slots() * target.slowdown(cfg) + target.locality_penalty(cfg);
        noise = noise.wrapping_mul(NOISE_FACTOR);
        let score = apparent_load + scale_noise(noise) - cache_score * cfg.affinity_bonus;
        if best.is_none_or(|(best_score, _)| score < best_score) {
            best = Some((score, key));
        }
    }
    best.map(|(_, key)| key)
}

/// Scales a random number to the noise added to a candidate's load.
fn scale_noise(random: u64) -> f64 {
    NOISE * (random >> 32) as f64 / f64::from(u32::MAX)
}
