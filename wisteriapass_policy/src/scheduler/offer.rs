//! Offers of new requests, which are refused at once or queued.

use std::cmp::Reverse;

use slotmap::Key;
use smallvec::SmallVec;

use super::Scheduler;
use super::timer::{Timer, TimerKind};
use crate::admission::{self, AdmissionInput};
use crate::job::Job;
use crate::keys::PoolKey;
use crate::pool::Capacity;
use crate::queued_request::QueuedRequest;
use crate::target_selection;
use crate::{Decision, Priority, Refusal, RequestInfo, Ticket, Time};

/// Retry delay if no target hosts the resource, in seconds; loading a model takes longer.
const NO_TARGET_RETRY_S: f64 = 10.0;
/// Maximum wait of a request without deadlines, in seconds.
const LONGEST_WAIT_S: f64 = 120.0;

impl Scheduler {
    /// Decides about a new request.
    ///
    /// The ticket is invalid if the decision is [`Decision::Refuse`]. The call may also cause
    /// decisions about other tickets, which the next [`Scheduler::poll`] returns.
    pub fn offer(&mut self, now: Time, request: RequestInfo) -> (Ticket, Decision) {
        let Some(weight) = self.account_weight(&request) else {
            return refused(Refusal::UnknownAccount, now.plus_secs(NO_TARGET_RETRY_S));
        };
        let pool_key = self.pool_for(request.resource);
        let Some(pool_key) = pool_key.filter(|&k| !self.pools[k].members.is_empty()) else {
            return refused(Refusal::NoTarget, now.plus_secs(NO_TARGET_RETRY_S));
        };
        let capacity = self.capacity(now, pool_key);
        if capacity.slots == 0.0 {
            let retry_at = self.next_reentry(pool_key);
            return refused(Refusal::TargetsUnhealthy, retry_at.max(now.plus_secs(1.0)));
        }
        let job = self.estimate(now, request, pool_key, capacity);
        if job.start_by < now {
            let retry_at = now.plus_secs(self.cfg.come_back_min_s);
            return refused(Refusal::DeadlineTooShort, retry_at);
        }
        if let Some(refusal) = self.admit(now, &job, weight, capacity) {
            return refusal;
        }
        self.retry_budget.record_first_try();
        let ticket = self.jobs.insert(job);
        self.enqueue(ticket, weight, request.attempt > 0);
        self.dispatch_within(now, pool_key, capacity);
        self.shed(now, pool_key, capacity);
        (ticket, self.take_decision(ticket))
    }

    /// Takes the pending decision about a ticket, or returns that it waits.
    pub(super) fn take_decision(&mut self, ticket: Ticket) -> Decision {
        if let Some(index) = self
            .pending_decisions
            .iter()
            .rposition(|d| d.ticket == ticket)
        {
            return self.pending_decisions.remove(index).decision;
        }
        let until = self.jobs.get(ticket).map_or(Time::MAX, |j| j.start_by);
        Decision::Wait { until }
    }

    /// Adds a job to its account's queue and sets a timer for its latest start.
    pub(super) fn enqueue(&mut self, ticket: Ticket, weight: f64, is_retry: bool) {
        let job = &self.jobs[ticket];
        let queued = QueuedRequest {
            ticket,
            account: job.request.account,
            priority: job.request.priority,
            work: job.work,
            offered_at: job.offered_at,
            is_retry,
            home: job.home,
        };
        let at = job.start_by;
        let saved_s = self.cfg.saved_share_s;
        self.pools[job.pool].queue.push(queued, weight, saved_s);
        self.jobs[ticket].queued = Some(queued);
        self.timers.push(Reverse(Timer {
            at,
            kind: TimerKind::Start,
            ticket,
        }));
    }

    /// Returns the current capacity of a pool; if no member is usable, that of members in re-entry.
    pub(super) fn capacity(&self, now: Time, pool: PoolKey) -> Capacity {
        self.pools[pool].capacity(now, &self.targets, &self.cfg)
    }

    /// Returns the weight of the account that pays, if it is known.
    pub(super) fn account_weight(&self, request: &RequestInfo) -> Option<f64> {
        let account = self.accounts.get(request.account)?;
        Some(f64::from(account.weight.max(1)))
    }

    /// Estimates a request's work and latest start.
    fn estimate(
        &mut self,
        now: Time,
        request: RequestInfo,
        pool_key: PoolKey,
        capacity: Capacity,
    ) -> Job {
        let pool = &mut self.pools[pool_key];
        let expected_output = pool.expected_output(&request);
        let prompt_work = pool.prompt_work(&request, &self.cfg);
        let work = expected_output + prompt_work;
        let slot_rate = (capacity.rate / capacity.slots.max(1.0)).max(1e-3);
        let start_for_first_token = request.first_token_by.plus_secs(-prompt_work / slot_rate);
        let tail_work = prompt_work + pool.tail_output(&request);
        let start_for_deadline = request.deadline.plus_secs(-tail_work / slot_rate);
        let is_interactive = request.priority == Priority::Interactive;
        let slot_secs = if is_interactive {
            work / slot_rate
        } else {
            0.0
        };
        pool.reserve.record_arrival(now, slot_secs, &self.cfg);
        let prefix = request.prefix.filter(|_| self.cfg.parts.affinity);
        let home = prefix.and_then(|p| {
            target_selection::home_target(&pool.members, &self.targets, now, p, &self.cfg)
        });
        Job {
            request,
            pool: pool_key,
            work,
            expected_output,
            start_by: start_for_first_token
                .min(start_for_deadline)
                .min(now.plus_secs(LONGEST_WAIT_S)),
            offered_at: now,
            queued: None,
            home,
            hedged: false,
            runs: SmallVec::new(),
        }
    }

    /// Refuses a job that cannot be served in time.
    fn admit(
        &mut self,
        now: Time,
        job: &Job,
        weight: f64,
        capacity: Capacity,
    ) -> Option<(Ticket, Decision)> {
        let pool = &mut self.pools[job.pool];
        let service_rate = pool.service_rate(now, capacity, self.router_count);
        let input = AdmissionInput {
            request: &job.request,
            weight,
            work: job.work,
            start_by: job.start_by,
            service_rate,
            remaining_share: pool.remaining_share(now, job.request.priority, service_rate),
            wait_correction: pool.wait_correction[job.request.priority.index()].factor,
            has_free_slot: f64::from(capacity.own_requests) < capacity.slots / self.router_count,
        };
        let reason = admission::check(now, input, &mut pool.queue, &self.cfg)?;
        let retry_at = admission::reserve_retry_time(now, input, &mut pool.queue, &self.cfg);
        Some(refused(reason, retry_at))
    }

    /// Sheds the least valuable requests while the queue is too long.
    ///
    /// Rarely needed with admission control (`loads --pattern saturation --without shedding`); it
    /// bounds the queue when deadlines are far away or missing.
    fn shed(&mut self, now: Time, pool_key: PoolKey, capacity: Capacity) {
        if !self.cfg.parts.shedding {
            return;
        }
        let service_rate = self.pools[pool_key].service_rate(now, capacity, self.router_count);
        while self.pools[pool_key].queue.work > service_rate * self.cfg.queue_limit_s {
            let Some(victim) = self.pools[pool_key].queue.least_valuable() else {
                return;
            };
            self.reject(now, victim.ticket, Refusal::Shed);
        }
    }

    /// Returns when the first avoided member of a pool gets requests again.
    fn next_reentry(&self, pool: PoolKey) -> Time {
        let members = self.pools[pool]
            .members
            .iter()
            .filter_map(|&k| self.targets.get(k));
        let accepting = members.filter(|t| t.accepts_requests());
        accepting
            .map(|t| t.health.avoided_until())
            .min()
            .unwrap_or_default()
    }
}

/// Returns a refusal with a null ticket.
fn refused(reason: Refusal, retry_at: Time) -> (Ticket, Decision) {
    (Ticket::null(), Decision::Refuse { reason, retry_at })
}
