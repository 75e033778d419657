//! Offering a request: refused at once, or queued.

use std::cmp::Reverse;

use slotmap::Key;
use smallvec::SmallVec;

use super::Scheduler;
use super::timer::{Alarm, AlarmKind};
use crate::admission::{self, Ask};
use crate::job::Job;
use crate::keys::PoolKey;
use crate::pool::Capacity;
use crate::queued_request::Waiting;
use crate::target_selection;
use crate::{Decision, Priority, Refusal, RequestInfo, Ticket, Time};

/// When to ask again for what no target holds, in seconds; loading a model takes longer than that.
const NO_TARGET_RETRY_S: f64 = 10.0;
/// Longest time a request without deadlines waits, in seconds.
const LONGEST_WAIT_S: f64 = 120.0;

impl Scheduler {
    /// Decides about a new request.
    ///
    /// The ticket is void if the decision is [`Decision::Refuse`]. The call may also free decisions
    /// about other tickets, which the next [`Scheduler::poll`] gives.
    pub fn offer(&mut self, now: Time, facts: RequestInfo) -> (Ticket, Decision) {
        let Some(weight) = self.weight(&facts) else {
            return refused(Refusal::UnknownAccount, now.plus_secs(NO_TARGET_RETRY_S));
        };
        let pool_key = self.pool_for(facts.resource);
        let Some(pool_key) = pool_key.filter(|&k| !self.pools[k].members.is_empty()) else {
            return refused(Refusal::NoTarget, now.plus_secs(NO_TARGET_RETRY_S));
        };
        let capacity = self.capacity(now, pool_key);
        if capacity.slots == 0.0 {
            let back = self.reentry(pool_key);
            return refused(Refusal::TargetsUnhealthy, back.max(now.plus_secs(1.0)));
        }
        let job = self.estimate(now, facts, pool_key, capacity);
        if job.start_by < now {
            let back = now.plus_secs(self.cfg.come_back_min_s);
            return refused(Refusal::DeadlineTooShort, back);
        }
        if let Some(refusal) = self.admit(now, &job, weight, capacity) {
            return refusal;
        }
        self.tries.earn();
        let ticket = self.jobs.insert(job);
        self.enqueue(ticket, weight, facts.attempt > 0);
        self.dispatch_within(now, pool_key, capacity);
        self.shed(now, pool_key, capacity);
        (ticket, self.decision_of(ticket))
    }

    /// Returns the decision just made about a ticket, or that it waits.
    pub(super) fn decision_of(&mut self, ticket: Ticket) -> Decision {
        if let Some(place) = self.ready.iter().rposition(|d| d.ticket == ticket) {
            return self.ready.remove(place).decision;
        }
        let until = self.jobs.get(ticket).map_or(Time::MAX, |j| j.start_by);
        Decision::Wait { until }
    }

    /// Puts a job into its account's lane and sets its latest start.
    pub(super) fn enqueue(&mut self, ticket: Ticket, weight: f64, first: bool) {
        let job = &self.jobs[ticket];
        let waiting = Waiting {
            ticket,
            account: job.facts.account,
            priority: job.facts.priority,
            work: job.work,
            since: job.offered_at,
            returned: first,
            home: job.home,
        };
        let at = job.start_by;
        let saved_s = self.cfg.saved_share_s;
        self.pools[job.pool].lanes.push(waiting, weight, saved_s);
        self.jobs[ticket].waiting = Some(waiting);
        self.alarms.push(Reverse(Alarm {
            at,
            kind: AlarmKind::Start,
            ticket,
        }));
    }

    /// Returns what a pool can do now; if none of its members works, what they could do.
    pub(super) fn capacity(&self, now: Time, pool: PoolKey) -> Capacity {
        self.pools[pool].capacity(now, &self.targets, &self.cfg)
    }

    /// Returns the weight of the account that pays, if it is known.
    pub(super) fn weight(&self, facts: &RequestInfo) -> Option<f64> {
        let account = self.accounts.get(facts.account)?;
        Some(f64::from(account.weight.max(1)))
    }

    /// Estimates a request's work and latest start.
    fn estimate(&mut self, now: Time, facts: RequestInfo, key: PoolKey, c: Capacity) -> Job {
        let pool = &mut self.pools[key];
        let output = pool.expected_output(&facts);
        let prompt = pool.prompt_work(&facts, &self.cfg);
        let work = output + prompt;
        let slot_rate = (c.rate / c.slots.max(1.0)).max(1e-3);
        let begun = facts.first_token_by.plus_secs(-prompt / slot_rate);
        let longest = prompt + pool.longest_output(&facts);
        let done = facts.deadline.plus_secs(-longest / slot_rate);
        let urgent = facts.priority == Priority::Interactive;
        let slot_secs = if urgent { work / slot_rate } else { 0.0 };
        pool.reserve.offered(now, slot_secs, &self.cfg);
        let prefix = facts.prefix.filter(|_| self.cfg.parts.affinity);
        let home = prefix
            .and_then(|p| target_selection::home(&pool.members, &self.targets, now, p, &self.cfg));
        Job {
            facts,
            pool: key,
            work,
            output,
            start_by: begun.min(done).min(now.plus_secs(LONGEST_WAIT_S)),
            offered_at: now,
            waiting: None,
            home,
            hedged: false,
            runs: SmallVec::new(),
        }
    }

    /// Refuses a job that cannot be done in time.
    fn admit(
        &mut self,
        now: Time,
        job: &Job,
        weight: f64,
        capacity: Capacity,
    ) -> Option<(Ticket, Decision)> {
        let pool = &mut self.pools[job.pool];
        let drain = pool.drain(now, capacity, self.routers);
        let ask = Ask {
            facts: &job.facts,
            weight,
            work: job.work,
            start_by: job.start_by,
            drain,
            left: pool.left_to(now, job.facts.priority, drain),
            caution: pool.caution[job.facts.priority.index()].factor,
            free_now: f64::from(capacity.own) < capacity.slots / self.routers,
        };
        let reason = admission::refuse(now, ask, &mut pool.lanes, &self.cfg)?;
        let back = admission::come_back(now, ask, &mut pool.lanes, &self.cfg);
        Some(refused(reason, back))
    }

    /// Gives up the least valuable work while the queue is too long.
    ///
    /// With admission on it is seldom needed (`loads --pattern saturation --without shedding`); it
    /// bounds the queue when deadlines are far away or missing.
    fn shed(&mut self, now: Time, pool_key: PoolKey, capacity: Capacity) {
        if !self.cfg.parts.shedding {
            return;
        }
        let drain = self.pools[pool_key].drain(now, capacity, self.routers);
        while self.pools[pool_key].lanes.work > drain * self.cfg.queue_limit_s {
            let Some(least) = self.pools[pool_key].lanes.least_valuable() else {
                return;
            };
            self.give_up(now, least.ticket, Refusal::Shed);
        }
    }

    /// Returns when the first avoided member of a pool gets work again.
    fn reentry(&self, pool: PoolKey) -> Time {
        let members = self.pools[pool]
            .members
            .iter()
            .filter_map(|&k| self.targets.get(k));
        let open = members.filter(|t| t.open());
        open.map(|t| t.health.avoided_until())
            .min()
            .unwrap_or_default()
    }
}

/// Returns a refusal with a void ticket.
fn refused(reason: Refusal, retry_at: Time) -> (Ticket, Decision) {
    (Ticket::null(), Decision::Refuse { reason, retry_at })
}
