//! Whether a target has room for a request.
//!
//! Answers saturation. Without a limit the targets' own queues fill, and there nothing can be
//! reordered, moved or refused any more (the baselines show it: `loads --pattern saturation
//! --policy least-outstanding`). Two requests beyond the slots keep a slot from standing idle while
//! a router learns that it is free. More may wait at the home of their prefix: at saturation a
//! request nearly never finds a free slot there, and what it waits there it saves by not having its
//! prompt read again elsewhere.

use crate::load_view::Load;
use crate::target::Target;
use crate::target_selection::Choosing;
use crate::{PolicyConfig, Priority};

/// Requests that interactive work may send beyond the allowance.
const INTERACTIVE_EXTRA: u32 = 1;

/// Requests that a router may send beyond the allowance to the home of their prefix.
const HOME_EXTRA: u32 = 2;

/// Returns whether a target has room for a request.
pub(crate) fn has_room(
    target: &Target,
    load: Load,
    at_home: bool,
    choosing: Choosing<'_>,
    cfg: &PolicyConfig,
) -> bool {
    if cfg.parts.health && !well_enough(target, choosing) {
        return false;
    }
    // Never more than its slots from one router, whatever the reports say.
    if target.load.own >= target.facts.slots {
        return false;
    }
    let interactive = choosing.priority == Priority::Interactive && cfg.parts.priority;
    let queue = match (interactive, at_home, choosing.over_share) {
        // The target takes interactive work before what waits there for its prefix.
        (true, _, _) => cfg.queue_at_target_interactive + cfg.queue_at_home,
        (false, true, _) => cfg.queue_at_home,
        (false, false, true) => 0.0,
        (false, false, false) => cfg.queue_at_target,
    };
    if load.total + 1.0 > target.slots() + queue {
        return false;
    }
    if !interactive && cfg.parts.reserve && choosing.reserve > 0.0 {
        let kept = target.slots() * choosing.reserve;
        if load.low + 1.0 > target.slots() - kept {
            return false;
        }
    }
    let queues = load.total + 1.0 > target.slots() && (at_home || !choosing.over_share);
    let extra = match (interactive, at_home) {
        (true, true) => INTERACTIVE_EXTRA + HOME_EXTRA,
        (true, false) => INTERACTIVE_EXTRA,
        (false, true) => HOME_EXTRA,
        (false, false) => 0,
    };
    queues || target.load.within_allowance(load, extra, cfg)
}

/// Returns whether the target's health allows one more request from this router.
fn well_enough(target: &Target, choosing: Choosing<'_>) -> bool {
    if target.health.suspect() && !choosing.may_probe {
        return false;
    }
    target.load.own < target.health.limit(choosing.now)
}
