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
use crate::target_selection::SelectionContext;
use crate::{PolicyConfig, Priority};

/// Requests that interactive work may send beyond the allowance.
const INTERACTIVE_EXTRA: u32 = 1;

/// Requests that a router may send beyond the allowance to the home of their prefix.
const HOME_EXTRA: u32 = 2;

/// Returns whether a target has room for a request.
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
    // Never more than its slots from one router, whatever the reports say.
    if target.load.own_requests >= target.info.slots {
        return false;
    }
    let interactive = context.priority == Priority::Interactive && cfg.parts.priority;
    let queue = match (interactive, at_home, context.over_share) {
        // The target takes interactive work before what waits there for its prefix.
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
