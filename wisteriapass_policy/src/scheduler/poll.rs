//! Decisions about waiting and running tickets.

use std::cmp::Reverse;

use smallvec::SmallVec;

use super::Scheduler;
use super::timer::{Timer, TimerKind};
use crate::admission::{self, AdmissionInput};
use crate::keys::PoolKey;
use crate::{Decision, Priority, Refusal, TargetKey, Ticket, TicketDecision, Time};

/// Retry delay after the account was removed, in seconds; long enough for another edit.
const NO_ACCOUNT_RETRY_S: f64 = 10.0;

impl Scheduler {
    /// Returns the decisions that are due.
    pub fn poll(&mut self, now: Time) -> SmallVec<[TicketDecision; 8]> {
        self.refuse_orphans(now);
        self.handle_silent_targets(now);
        while let Some(&Reverse(timer)) = self.timers.peek() {
            if timer.at > now {
                break;
            }
            self.timers.pop();
            self.fire(now, timer);
        }
        let pools = self.pools.iter().filter(|(_, p)| p.queue.is_waiting());
        let pools: SmallVec<[PoolKey; 4]> = pools.map(|(key, _)| key).collect();
        for pool in pools {
            self.dispatch(now, pool);
        }
        self.pending_decisions.drain(..).collect()
    }

    /// Returns when to poll next if no other event occurs before.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let timer = self.timers.peek().map(|Reverse(a)| a.at);
        let silent = self
            .targets
            .values()
            .filter_map(|t| t.silence_deadline(&self.cfg));
        let immediate = if self.pending_decisions.is_empty() && self.orphans.is_empty() {
            None
        } else {
            Some(now)
        };
        silent.chain(timer).chain(immediate).min()
    }

    /// Refuses a waiting job.
    pub(super) fn reject(&mut self, now: Time, ticket: Ticket, reason: Refusal) {
        let Some(job) = self.jobs.remove(ticket) else {
            return;
        };
        let capacity = self.capacity(now, job.pool);
        let weight = self.account_weight(&job.request).unwrap_or(1.0);
        let pool = &mut self.pools[job.pool];
        if let Some(queued) = job.queued {
            pool.queue.remove(&queued);
        }
        let input = AdmissionInput {
            request: &job.request,
            weight,
            work: job.work,
            start_by: job.start_by,
            service_rate: pool.service_rate(now, capacity, self.router_count),
            remaining_share: 1.0,
            wait_correction: 1.0,
            has_free_slot: false,
        };
        let retry_at = admission::reserve_retry_time(now, input, &mut pool.queue, &self.cfg);
        let decision = Decision::Refuse { reason, retry_at };
        self.pending_decisions
            .push(TicketDecision { ticket, decision });
    }

    /// Refuses the waiting requests of removed accounts.
    fn refuse_orphans(&mut self, now: Time) {
        for ticket in self.orphans.drain(..) {
            if self.jobs.remove(ticket).is_none() {
                continue;
            }
            let decision = Decision::Refuse {
                reason: Refusal::UnknownAccount,
                retry_at: now.plus_secs(NO_ACCOUNT_RETRY_S),
            };
            self.pending_decisions
                .push(TicketDecision { ticket, decision });
        }
    }

    /// Handles an expired timer.
    fn fire(&mut self, now: Time, timer: Timer) {
        let Some(job) = self.jobs.get(timer.ticket) else {
            return;
        };
        match timer.kind {
            TimerKind::Start if job.runs.is_empty() => self.expire(now, timer.ticket),
            TimerKind::FirstToken if job.runs.len() == 1 && !job.has_first_token() => {
                self.hedge(now, timer.ticket);
            }
            TimerKind::Start | TimerKind::FirstToken => {}
        }
    }

    /// Tries to dispatch a waiting job once more, then refuses it.
    fn expire(&mut self, now: Time, ticket: Ticket) {
        let pool = self.jobs[ticket].pool;
        self.dispatch(now, pool);
        if let Some(job) = self.jobs.get(ticket).filter(|j| j.runs.is_empty()) {
            self.pools[job.pool].wait_correction[job.request.priority.index()].record(true);
            self.reject(now, ticket, Refusal::WaitedTooLong);
        }
    }

    /// Sends a second copy of a job whose first token is late, if allowed and another target has
    /// capacity.
    fn hedge(&mut self, now: Time, ticket: Ticket) {
        if !self.cfg.parts.hedging {
            return;
        }
        let job = &self.jobs[ticket];
        let (pool, first_target) = (job.pool, job.runs[0].target);
        if job.hedged || !job.request.idempotent || job.request.deadline <= now {
            return;
        }
        let capacity = self.capacity(now, pool);
        let Some(target) = self.select_target(now, ticket, capacity, Some(first_target)) else {
            return;
        };
        if self.cfg.parts.try_budget && !self.retry_budget.try_spend() {
            return;
        }
        self.jobs[ticket].hedged = true;
        self.start(now, ticket, target);
        let decision = Decision::Hedge { target };
        self.pending_decisions
            .push(TicketDecision { ticket, decision });
    }

    /// Avoids targets that were silent for too long, and hedges their requests where allowed.
    fn handle_silent_targets(&mut self, now: Time) {
        if !self.cfg.parts.health {
            return;
        }
        let silent = self
            .targets
            .iter()
            .filter(|(_, t)| t.silence_deadline(&self.cfg).is_some_and(|s| s <= now));
        let silent: SmallVec<[TargetKey; 4]> = silent.map(|(key, _)| key).collect();
        for key in silent {
            self.targets[key].health.avoid(now, &self.cfg);
            let unanswered = self.jobs.iter().filter(|(_, j)| {
                j.runs.len() == 1 && j.runs[0].target == key && !j.has_first_token()
            });
            let mut unanswered: Vec<(Priority, Ticket)> = unanswered
                .map(|(ticket, j)| (j.request.priority, ticket))
                .collect();
            unanswered.sort_unstable();
            for (_, ticket) in unanswered {
                self.hedge(now, ticket);
            }
        }
    }
}
