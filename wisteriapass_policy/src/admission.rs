//! Admission control: requests that cannot be served in time are refused at once, with a retry
//! time.
//!
//! Handles saturation and bursts. Without it every request waits until its deadline, the queue
//! fills with work that is already too late when its turn comes, and callers learn of the failure
//! last (`loads --pattern saturation --without admission`). The wait is estimated twice: from all
//! work ahead at the router's full service rate, and from the account's own work at its fair share.
//! The smaller estimate counts, since fair queueing gives an account at least its share and at most
//! the whole rate.
//!
//! Retry times are reservations: each takes its work out of a part of the account's fair share, one
//! after the other. Without this every refused caller gets the same retry time and all return at
//! once (`loads --pattern saturation --without come_back`). A third of the share is promised. With
//! half of it, too many callers came while earlier promises were still being kept.

use crate::fair_queue::FairQueue;
use crate::{AccountKey, PolicyConfig, Refusal, RequestInfo, Time};

/// A request and the state of its pool, as admission sees them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmissionInput<'a> {
    pub(crate) request: &'a RequestInfo,
    pub(crate) weight: f64,
    /// Expected work, in tokens.
    pub(crate) work: f64,
    /// Latest start that meets the deadlines.
    pub(crate) start_by: Time,
    /// Service rate that this router gets from the pool, in tokens per second.
    pub(crate) service_rate: f64,
    /// Share of the pool that more urgent classes leave for this request's class.
    pub(crate) remaining_share: f64,
    /// Learned factor on the estimated wait.
    pub(crate) wait_correction: f64,
    /// Whether a slot is free for this request now.
    pub(crate) has_free_slot: bool,
}

/// Returns the reason to refuse a request that cannot be served in time, if any.
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
        // The caller was told to retry now, so only other retried requests are ahead.
        let wait = now.plus_secs((account_queue.retry_work() + input.work) / share);
        return (wait > input.start_by).then_some(Refusal::OverFairShare);
    }
    let account_work_ahead = account_queue.work_above(input.request.priority) + account_lead;
    let pool_wait = pool_work_ahead / (input.service_rate * input.remaining_share);
    let account_wait = account_work_ahead.max(0.0) / (share * input.remaining_share);
    // The request itself needs a slot, which becomes free after its own share of work.
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

/// Returns when a refused request could be served, and reserves that time.
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

/// Returns the account's fair share of the service rate, in tokens per second.
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
