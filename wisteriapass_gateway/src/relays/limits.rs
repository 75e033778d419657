//! Limits that targets name, passed on between relays and followers. A follower never sends to a
//! limited target, so it learns from its relay when a limit ends.

use wisteriapass_policy::Time;

use crate::prelude::*;
use crate::target::{NamedLimit, TargetId};

/// Time for which a follower reports a limit that a target named to it, in milliseconds: several
/// update requests.
const REPORT_MS: u64 = 1_000;

/// Returns the limits that targets named to this router of late.
pub fn recent_limits(gw: &Gateway) -> Vec<(TargetId, f64)> {
    limits(gw, |named| {
        gw.time().millis_since(named.named_at) < REPORT_MS
    })
}

/// Returns all limits that this router knows.
pub fn known_limits(gw: &Gateway) -> Vec<(TargetId, f64)> {
    limits(gw, |_| true)
}

fn limits(gw: &Gateway, includes: impl Fn(&NamedLimit) -> bool) -> Vec<(TargetId, f64)> {
    let targets = gw.targets.borrow();
    let limited = targets.iter().filter_map(|t| Some((t, t.limit.get()?)));
    limited
        .filter(|(_, named)| includes(named))
        .map(|(target, named)| (target.entry.id.clone(), named.limit.per_s()))
        .collect()
}

/// Adds the limits that a follower reported, where this relay knows of none.
pub fn add_reported(gw: &Gateway, reported: &[(TargetId, f64)]) {
    let targets = gw.targets.borrow();
    for (id, per_s) in reported {
        let target = targets.iter().find(|t| t.entry.id == *id);
        if let Some(target) = target.filter(|t| t.limit.get().is_none()) {
            gw.set_limit(target, Some(*per_s), gw.time());
        }
    }
}

/// Takes over the limits that a relay knows, and ends the others unless they were named of late.
pub fn follow(gw: &Gateway, known: &[(TargetId, f64)]) {
    let now = gw.time();
    for target in gw.targets.borrow().iter() {
        let per_s = known.iter().find(|(id, _)| *id == target.entry.id);
        let per_s = per_s.map(|(_, per_s)| *per_s);
        let is_recent = |named: NamedLimit| now.millis_since(named.named_at) < REPORT_MS;
        match (per_s, target.limit.get()) {
            (None, None) => {}
            (None, Some(named)) if is_recent(named) => {}
            (Some(per_s), Some(named)) if named.limit.per_s() == per_s => {}
            // The target named it to others only, so this router does not report it.
            (per_s, _) => gw.set_limit(target, per_s, Time::default()),
        }
    }
}
