//! Admission by work: what cannot be done in time is refused at once, with an honest time.
//!
//! Answers saturation and bursts. Without it every request waits until its deadline, the queue is
//! full of work that is too late when its turn comes, and the caller learns of it last (`loads
//! --pattern saturation --without admission`). The wait is estimated twice, from all work ahead
//! at the router's whole rate and from the account's own work at its share, and the smaller counts,
//! since a fair order gives at least the share and at most the whole.
//!
//! Come-back times are promises: each takes its work out of a share of what the account's fair
//! share can do, one after the other. Without that every refused caller is told the same time and
//! they all come at once (`loads --pattern saturation --without come_back`). A third of the share is
//! promised; with half of it too many came when others' promises were still being kept.

use crate::fair_queue::Lanes;
use crate::{AccountKey, PolicyConfig, Refusal, RequestInfo, Time};

/// What admission knows of a request and its pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ask<'a> {
    pub(crate) facts: &'a RequestInfo,
    pub(crate) weight: f64,
    /// Expected work, in tokens.
    pub(crate) work: f64,
    /// Latest start that keeps the deadlines.
    pub(crate) start_by: Time,
    /// What the router gets of the pool, in tokens a second.
    pub(crate) drain: f64,
    /// Share of the pool that more urgent classes leave to it.
    pub(crate) left: f64,
    /// Factor on the estimated wait, learned from earlier ones.
    pub(crate) caution: f64,
    /// Whether a slot is free for it now.
    pub(crate) free_now: bool,
}

/// Returns why a request cannot be served in time, if it cannot.
pub(crate) fn refuse(
    now: Time,
    ask: Ask<'_>,
    lanes: &mut Lanes,
    cfg: &PolicyConfig,
) -> Option<Refusal> {
    let share = share(now, ask.facts.account, ask.weight, ask.drain, lanes);
    if !cfg.parts.admission {
        return None;
    }
    let all_ahead = lanes.work_above(ask.facts.priority);
    if ask.free_now && all_ahead <= 0.0 {
        return None;
    }
    let lead = lanes.ahead(ask.facts.account).max(0.0);
    let lane = lanes.lane(ask.facts.account, ask.weight)?;
    if ask.facts.attempt > 0 {
        // It was told to come now; only others that were told so are before it.
        let wait = now.plus_secs((lane.returned_work() + ask.work) / share);
        return (wait > ask.start_by).then_some(Refusal::OverFairShare);
    }
    let own_ahead = lane.work_above(ask.facts.priority) + lead;
    let wait_all = all_ahead / (ask.drain * ask.left);
    let wait_own = own_ahead.max(0.0) / (share * ask.left);
    // The request itself needs a slot of its own, which comes free a share of its work later.
    let wait = (wait_all.min(wait_own) + ask.work / ask.drain) * ask.caution;
    if now.plus_secs(wait) <= ask.start_by {
        return None;
    }
    if wait_own < wait_all {
        return Some(Refusal::OverFairShare);
    }
    Some(Refusal::PoolBusy)
}

/// Returns when a refused request would be served, and notes the promise.
pub(crate) fn come_back(now: Time, ask: Ask<'_>, lanes: &mut Lanes, cfg: &PolicyConfig) -> Time {
    let soonest = now.plus_secs(cfg.come_back_min_s);
    if !cfg.parts.come_back {
        return soonest;
    }
    let share = share(now, ask.facts.account, ask.weight, ask.drain, lanes);
    let Some(lane) = lanes.lane(ask.facts.account, ask.weight) else {
        return soonest;
    };
    let start = lane.promised_until.max(soonest);
    lane.promised_until = start.plus_secs(ask.work / (share * cfg.promise_share).max(1e-3));
    lane.promised_until
}

/// Returns the account's fair share of the router's rate, in tokens a second.
fn share(now: Time, account: AccountKey, weight: f64, drain: f64, lanes: &mut Lanes) -> f64 {
    if let Some(lane) = lanes.lane(account, weight) {
        lane.last_offer = now;
    }
    let active = lanes.recent_weight(now).max(weight);
    let share = (drain * weight / active).max(1e-3);
    if let Some(lane) = lanes.lane(account, weight) {
        lane.share = share;
    }
    share
}
