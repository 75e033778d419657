//! Which target a request runs at.
//!
//! Answers uneven load. Without it (round robin) slow, full and cold targets get as much as the
//! rest (`loads --pattern slow --policy fcfs-round-robin`). All candidates are compared, since a
//! pool has tens, not thousands; the herd that the best choice usually draws is held by the
//! allowance of the load view and by a little noise, below the load of one request.

use rand::Rng;
use slotmap::SlotMap;

use crate::affinity;
use crate::target::Target;
use crate::{PolicyConfig, Priority, TargetKey, Time};

/// Noise added to each candidate's load, as a share of its slots.
const NOISE: f64 = 0.05;
/// Requests that interactive work may send beyond the allowance.
const INTERACTIVE_EXTRA: u32 = 1;

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

/// One candidate with room.
struct Candidate {
    key: TargetKey,
    /// Load as a share of its slots, with distance and slowness.
    load: f64,
    belief: f64,
    rank: u64,
}

/// Returns the best target with room for the request, if any has.
pub(crate) fn choose(
    members: &[TargetKey],
    targets: &SlotMap<TargetKey, Target>,
    choosing: Choosing,
    cfg: &PolicyConfig,
    rng: &mut impl Rng,
) -> Option<TargetKey> {
    let mut best: Option<(f64, TargetKey)> = None;
    let mut load_sum = 0.0;
    let mut count = 0.0;
    let mut candidates = smallvec::SmallVec::<[Candidate; 32]>::new();
    let mut home = 0;
    for &key in members {
        let Some(target) = targets.get(key).filter(|t| t.open()) else {
            continue;
        };
        let load = target.load.load(choosing.now, choosing.routers, cfg);
        let full = load.total / target.slots();
        load_sum += full;
        count += 1.0;
        let rank = choosing
            .prefix
            .map_or(0, |p| affinity::rank(p, target.name_hash));
        home = home.max(rank);
        if choosing.except == Some(key) || !has_room(target, choosing, cfg) {
            continue;
        }
        let slowness = if cfg.parts.health {
            1.0 / target.health.speed.clamp(0.05, 1.0)
        } else {
            1.0
        };
        candidates.push(Candidate {
            key,
            load: full * slowness + target.distance(cfg) + rng.random_range(0.0..NOISE),
            belief: choosing
                .prefix
                .map_or(0.0, |p| target.cache.belief(choosing.now, p, cfg)),
            rank,
        });
    }
    let bound = load_sum / f64::max(count, 1.0) + cfg.affinity_bound;
    for c in candidates {
        let mut score = c.load;
        if cfg.parts.affinity && choosing.prefix.is_some() && c.load < bound {
            score -= cfg.affinity_bonus * affinity::worth(c.belief, c.rank == home);
        }
        if best.is_none_or(|(b, _)| score < b) {
            best = Some((score, c.key));
        }
    }
    best.map(|(_, key)| key)
}

/// Returns whether a target has room for a request of this class.
fn has_room(target: &Target, choosing: Choosing, cfg: &PolicyConfig) -> bool {
    if cfg.parts.health {
        let probing = target.health.suspect();
        if target.load.own >= target.health.limit(choosing.now) || (probing && !choosing.may_probe)
        {
            return false;
        }
    }
    // Never more than its slots from one router, whatever the reports say.
    if target.load.own >= target.facts.slots {
        return false;
    }
    let load = target.load.load(choosing.now, choosing.routers, cfg);
    let interactive = choosing.priority == Priority::Interactive && cfg.parts.priority;
    let queue = match (interactive, choosing.over_share) {
        (true, _) => cfg.queue_at_target_interactive,
        (false, true) => 0.0,
        (false, false) => cfg.queue_at_target,
    };
    if load.total + 1.0 > target.slots() + queue {
        return false;
    }
    if !interactive && cfg.parts.reserve {
        let kept = target.slots() * choosing.reserve;
        // A queue at the target is no harm to interactive work only if the kept slots are free.
        let low_queue = if kept >= 1.0 { 0.0 } else { queue };
        if load.low + 1.0 > target.slots() - kept + low_queue {
            return false;
        }
    }
    let extra = if interactive { INTERACTIVE_EXTRA } else { 0 };
    let under_share = !choosing.over_share && load.total + 1.0 > target.slots();
    under_share || target.load.within_allowance(choosing.now, extra, cfg)
}
