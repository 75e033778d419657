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

use crate::fair_queue::FairQueue;
use crate::{AccountKey, PolicyConfig, Refusal, RequestInfo, Time};

/// What admission knows of a request and its pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmissionInput<'a> {
    pub(crate) request: &'a RequestInfo,
    pub(crate) weight: f64,
    /// Expected work, in tokens.
    pub(crate) work: f64,
    /// Latest start that keeps the deadlines.
    pub(crate) start_by: Time,
    /// What the router gets of the pool, in tokens a second.
    pub(crate) service_rate: f64,
    /// Share of the pool that more urgent classes leave to it.
    pub(crate) remaining_share: f64,
    /// Factor on the estimated wait, learned from earlier ones.
    pub(crate) wait_correction: f64,
    /// Whether a slot is free for it now.
    pub(crate) has_free_slot: bool,
}

/// Returns why a request cannot be served in time, if it cannot.
pub(crate) fn check(
    now: Time,
    input: AdmissionInput<'_>,
    queue: &mut FairQueue,
    cfg: &PolicyConfig,
) -> Option<Refusal> {
    let share = fair_share(
        now,
        input.request.account,
        input.weight,
        input.service_rate,
        queue,
    );
    if !cfg.parts.admission {
        return None;
    }
    let pool_work_ahead = queue.work_above(input.request.priority);
    if input.has_free_slot && pool_work_ahead <= 0.0 {
        return None;
    }
    let account_lead = queue.account_lead(input.request.account).max(0.0);
    let account_queue = queue.account_queue(input.request.account, input.weight)?;
    if input.request.attempt > 0 {
        // It was told to come now; only others that were told so are before it.
        let wait = now.plus_secs((account_queue.retry_work() + input.work) / share);
        return (wait > input.start_by).then_some(Refusal::OverFairShare);
    }
    let account_work_ahead = account_queue.work_above(input.request.priority) + account_lead;
    let pool_wait = pool_work_ahead / (input.service_rate * input.remaining_share);
    let account_wait = account_work_ahead.max(0.0) / (share * input.remaining_share);
    // The request itself needs a slot of its own, which comes free a share of its work later.
    let wait =
        (pool_wait.min(account_wait) + input.work / input.service_rate) * input.wait_correction;
    if now.plus_secs(wait) <= input.start_by {
        return None;
    }
    if account_wait < pool_wait {
        return Some(Refusal::OverFairShare);
    }
    Some(Refusal::PoolBusy)
}

/// Returns when a refused request would be served, and notes the promise.
pub(crate) fn reserve_retry_time(
    now: Time,
    input: AdmissionInput<'_>,
    queue: &mut FairQueue,
    cfg: &PolicyConfig,
) -> Time {
    let earliest = now.plus_secs(cfg.come_back_min_s);
    if !cfg.parts.come_back {
        return earliest;
    }
    let share = fair_share(
        now,
        input.request.account,
        input.weight,
        input.service_rate,
        queue,
    );
    let Some(account_queue) = queue.account_queue(input.request.account, input.weight) else {
        return earliest;
    };
    let start = account_queue.promised_until.max(earliest);
    account_queue.promised_until =
        start.plus_secs(input.work / (share * cfg.promise_share).max(1e-3));
    account_queue.promised_until
}

/// Returns the account's fair share of the router's rate, in tokens a second.
fn fair_share(
    now: Time,
    account: AccountKey,
    weight: f64,
    service_rate: f64,
    queue: &mut FairQueue,
) -> f64 {
    if let Some(account_queue) = queue.account_queue(account, weight) {
        account_queue.last_offer = now;
    }
    let active_weight = queue.recent_weight(now).max(weight);
    let share = (service_rate * weight / active_weight).max(1e-3);
    if let Some(account_queue) = queue.account_queue(account, weight) {
        account_queue.share = share;
    }
    share
}
