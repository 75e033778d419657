//! Decisions about tickets that wait or run.

use std::cmp::Reverse;

use smallvec::SmallVec;

use super::Scheduler;
use super::timer::{Alarm, AlarmKind};
use crate::admission::{self, Ask};
use crate::keys::PoolKey;
use crate::{Decision, Priority, Refusal, TargetKey, Ticket, TicketDecision, Time};

/// When to ask again after the account was removed, in seconds; long enough for a new edit.
const NO_ACCOUNT_RETRY_S: f64 = 10.0;

impl Scheduler {
    /// Returns the decisions that are due.
    pub fn poll(&mut self, now: Time) -> SmallVec<[TicketDecision; 8]> {
        self.refuse_orphans(now);
        self.find_silent(now);
        while let Some(&Reverse(alarm)) = self.alarms.peek() {
            if alarm.at > now {
                break;
            }
            self.alarms.pop();
            self.ring(now, alarm);
        }
        let busy = self.pools.iter().filter(|(_, p)| p.lanes.is_waiting());
        let busy: SmallVec<[PoolKey; 4]> = busy.map(|(key, _)| key).collect();
        for pool in busy {
            self.dispatch(now, pool);
        }
        self.ready.drain(..).collect()
    }

    /// Returns when to poll next if nothing else happens before.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let alarm = self.alarms.peek().map(|Reverse(a)| a.at);
        let silent = self.targets.values().filter_map(|t| t.silent_at(&self.cfg));
        let pending = if self.ready.is_empty() && self.orphans.is_empty() {
            None
        } else {
            Some(now)
        };
        silent.chain(alarm).chain(pending).min()
    }

    /// Refuses a waiting job.
    pub(super) fn give_up(&mut self, now: Time, ticket: Ticket, reason: Refusal) {
        let Some(job) = self.jobs.remove(ticket) else {
            return;
        };
        let capacity = self.capacity(now, job.pool);
        let weight = self.weight(&job.facts).unwrap_or(1.0);
        let pool = &mut self.pools[job.pool];
        if let Some(waiting) = job.waiting {
            pool.lanes.take(&waiting);
        }
        let ask = Ask {
            facts: &job.facts,
            weight,
            work: job.work,
            start_by: job.start_by,
            drain: pool.drain(now, capacity, self.routers),
            left: 1.0,
            caution: 1.0,
            free_now: false,
        };
        let retry_at = admission::come_back(now, ask, &mut pool.lanes, &self.cfg);
        let decision = Decision::Refuse { reason, retry_at };
        self.ready.push(TicketDecision { ticket, decision });
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
            self.ready.push(TicketDecision { ticket, decision });
        }
    }

    /// Acts on one alarm.
    fn ring(&mut self, now: Time, alarm: Alarm) {
        let Some(job) = self.jobs.get(alarm.ticket) else {
            return;
        };
        match alarm.kind {
            AlarmKind::Start if job.runs.is_empty() => self.expire(now, alarm.ticket),
            AlarmKind::FirstToken if job.runs.len() == 1 && !job.answering() => {
                self.hedge(now, alarm.ticket);
            }
            AlarmKind::Start | AlarmKind::FirstToken => {}
        }
    }

    /// Gives a waiting job a last chance to run, then refuses it.
    fn expire(&mut self, now: Time, ticket: Ticket) {
        let pool = self.jobs[ticket].pool;
        self.dispatch(now, pool);
        if let Some(job) = self.jobs.get(ticket).filter(|j| j.runs.is_empty()) {
            self.pools[job.pool].caution[job.facts.priority.index()].learn(true);
            self.give_up(now, ticket, Refusal::WaitedTooLong);
        }
    }

    /// Sends a second copy of a job whose first token is late, if that is allowed and helps.
    fn hedge(&mut self, now: Time, ticket: Ticket) {
        if !self.cfg.parts.hedging {
            return;
        }
        let job = &self.jobs[ticket];
        let (pool, first) = (job.pool, job.runs[0].target);
        if job.hedged || !job.facts.idempotent || job.facts.deadline <= now {
            return;
        }
        let capacity = self.capacity(now, pool);
        let Some(target) = self.choose(now, ticket, capacity, Some(first)) else {
            return;
        };
        if self.cfg.parts.try_budget && !self.tries.take() {
            return;
        }
        self.jobs[ticket].hedged = true;
        self.start(now, ticket, target);
        let decision = Decision::Hedge { target };
        self.ready.push(TicketDecision { ticket, decision });
    }

    /// Avoids targets that gave no sign for too long, and moves what may run elsewhere.
    fn find_silent(&mut self, now: Time) {
        if !self.cfg.parts.health {
            return;
        }
        let silent = self
            .targets
            .iter()
            .filter(|(_, t)| t.silent_at(&self.cfg).is_some_and(|s| s <= now));
        let silent: SmallVec<[TargetKey; 4]> = silent.map(|(key, _)| key).collect();
        for key in silent {
            self.targets[key].health.avoid(now, &self.cfg);
            let stuck = self
                .jobs
                .iter()
                .filter(|(_, j)| j.runs.len() == 1 && j.runs[0].target == key && !j.answering());
            let mut stuck: Vec<(Priority, Ticket)> = stuck
                .map(|(ticket, j)| (j.facts.priority, ticket))
                .collect();
            stuck.sort_unstable();
            for (_, ticket) in stuck {
                self.hedge(now, ticket);
            }
        }
    }
}
