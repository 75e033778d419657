//! Which target a request runs at.
//!
//! Answers uneven load. Without it (round robin) slow, full and cold targets get as much as the
//! rest (`loads --pattern slow --policy fcfs-round-robin`). All candidates are compared, since a
//! pool has tens, not thousands; the herd that the best choice usually draws is held by the
//! allowance of the load view and by a little noise, below the load of one request.

use rand::Rng;
use slotmap::SlotMap;

use crate::target::Target;
use crate::{PolicyConfig, Priority, TargetKey, Time};
use crate::{affinity, room};

/// Noise added to each candidate's load, as a share of its slots.
const NOISE: f64 = 0.05;

/// What the choice knows of the request and its pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choosing {
    pub(crate) now: Time,
    pub(crate) priority: Priority,
    pub(crate) prefix: Option<u64>,
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
    choosing: Choosing,
    cfg: &PolicyConfig,
    rng: &mut impl Rng,
) -> Option<TargetKey> {
    let open = || {
        members
            .iter()
            .filter_map(|&k| Some((k, targets.get(k)?)))
            .filter(|(_, t)| t.open())
    };
    let prefix = choosing.prefix.filter(|_| cfg.parts.affinity);
    let home = prefix.and_then(|p| home(members, targets, choosing.now, p, cfg));
    let mut best: Option<(f64, TargetKey)> = None;
    for (key, target) in open().filter(|&(key, _)| choosing.except != Some(key)) {
        let at_home = home == Some(key);
        let load = target.load.load(choosing.now, choosing.routers, cfg);
        if !room::has_room(target, load, at_home, choosing, cfg) {
            continue;
        }
        let belief = prefix.map_or(0.0, |p| target.cache.belief(choosing.now, p, cfg));
        let worth = affinity::worth(belief, at_home);
        let seeming = load.total / target.slots() * target.slowness(cfg) + target.distance(cfg);
        let score = seeming + rng.random_range(0.0..NOISE) - worth * cfg.affinity_bonus;
        if best.is_none_or(|(least, _)| score < least) {
            best = Some((score, key));
        }
    }
    best.map(|(_, key)| key)
}
