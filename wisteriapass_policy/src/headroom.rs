//! Checks whether a target can take another request.
//!
//! Handles saturation. Without a limit the targets' own queues fill, where requests can no longer
//! be reordered, moved or refused (see the baselines: `loads --pattern saturation --policy
//! least-outstanding`). Two requests beyond the slots keep a slot from idling until a router learns
//! that it is free. More requests may queue at the home of their prefix: at saturation a request
//! rarely finds a free slot there, and the wait is made up for by not reading its prompt again
//! elsewhere.

use crate::load_view::Load;
use crate::target::Target;
use crate::target_selection::SelectionContext;
use crate::{PolicyConfig, Priority};

/// Interactive requests that a router may send beyond its allowance.
const INTERACTIVE_EXTRA: u32 = 1;

/// Requests that a router may send beyond its allowance to the home of their prefix.
const HOME_EXTRA: u32 = 2;

pub(crate) fn has_headroom(
    target: &Target,
    load: Load,
    at_home: bool,
    context: SelectionContext<'_>,
    cfg: &PolicyConfig,
) -> bool {
    if cfg.parts.health && !health_allows(target, context) {
        return false;
    }
    // A router never sends more requests than the target has slots, whatever the reports say.
    if target.load.own_requests >= target.info.slots {
        return false;
    }
    let interactive = context.priority == Priority::Interactive && cfg.parts.priority;
    let queue = match (interactive, at_home, context.over_share) {
        // The target takes interactive requests before those queued there for their prefix.
        (true, _, _) => cfg.queue_at_target_interactive + cfg.queue_at_home,
        (false, true, _) => cfg.queue_at_home,
        (false, false, true) => 0.0,
        (false, false, false) => cfg.queue_at_target,
    };
    if load.total + 1.0 > target.slots() + queue {
        return false;
    }
    if !interactive && cfg.parts.reserve && context.reserved_share > 0.0 {
        let reserved = target.slots() * context.reserved_share;
        if load.non_interactive + 1.0 > target.slots() - reserved {
            return false;
        }
    }
    let will_queue = load.total + 1.0 > target.slots() && (at_home || !context.over_share);
    let extra = match (interactive, at_home) {
        (true, true) => INTERACTIVE_EXTRA + HOME_EXTRA,
        (true, false) => INTERACTIVE_EXTRA,
        (false, true) => HOME_EXTRA,
        (false, false) => 0,
    };
    will_queue || target.load.within_allowance(load, extra, cfg)
}

/// Returns whether the target's health allows one more request from this router.
fn health_allows(target: &Target, context: SelectionContext<'_>) -> bool {
    if target.health.is_suspect() && !context.may_probe {
        return false;
    }
    target.load.own_requests < target.health.limit(context.now)
}
