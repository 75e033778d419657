//! Dispatches queued requests in fair order.

use std::cmp::Reverse;

use super::Scheduler;
use super::timer::{Timer, TimerKind};
use crate::fair_queue::BlockedClasses;
use crate::job::Run;
use crate::keys::PoolKey;
use crate::no_capacity_cache::NoCapacityCache;
use crate::pool::Capacity;
use crate::queued_request::QueuedRequest;
use crate::target_selection::{self, SelectionContext};
use crate::{Decision, Priority, TargetKey, Ticket, TicketDecision, Time};

impl Scheduler {
    /// Dispatches the next requests in fair order while there is capacity.
    pub(super) fn dispatch(&mut self, now: Time, pool_key: PoolKey) {
        if self.may_find_capacity(now, pool_key) {
            let capacity = self.capacity(now, pool_key);
            self.dispatch_within(now, pool_key, capacity);
        }
    }

    /// Returns whether requests are queued for which capacity may be available.
    fn may_find_capacity(&self, now: Time, pool_key: PoolKey) -> bool {
        let pool = &self.pools[pool_key];
        let known_blocked = pool.no_capacity.classes(now, self.change_count);
        pool.queue.has_unblocked(known_blocked)
    }

    /// Dispatches with the given capacity of the pool.
    pub(super) fn dispatch_within(&mut self, now: Time, pool_key: PoolKey, capacity: Capacity) {
        let known_blocked = self.pools[pool_key]
            .no_capacity
            .classes(now, self.change_count);
        if !self.pools[pool_key].queue.has_unblocked(known_blocked) {
            return;
        }
        let mut blocked = known_blocked;
        let service_rate = self.pools[pool_key].service_rate(now, capacity, self.router_count);
        let mut own_requests = capacity.own_requests;
        while let Some(next) =
            self.pools[pool_key]
                .queue
                .peek(now, service_rate, blocked, &self.cfg)
        {
            let capacity = Capacity {
                own_requests,
                ..capacity
            };
            let Some(target) = self.select_target(now, next.ticket, capacity, None) else {
                block_from(&mut blocked, next.priority);
                continue;
            };
            let next = self.prefer_home(now, next, target, capacity, service_rate);
            let pool = &mut self.pools[pool_key];
            pool.queue.remove(&next);
            pool.queue.charge(next.account, next.work);
            pool.record_dispatch(now, next.priority, next.work);
            pool.wait_correction[next.priority.index()].record(false);
            self.jobs[next.ticket].queued = None;
            self.start(now, next.ticket, target);
            own_requests += 1;
            let decision = Decision::Run { target };
            self.pending_decisions.push(TicketDecision {
                ticket: next.ticket,
                decision,
            });
        }
        if blocked != known_blocked {
            self.pools[pool_key].no_capacity =
                NoCapacityCache::new(blocked, now, self.change_count);
        }
    }

    /// Returns the request to run at a target: `next`, or one with a nearby score whose home is the
    /// target.
    fn prefer_home(
        &mut self,
        now: Time,
        next: QueuedRequest,
        target: TargetKey,
        capacity: Capacity,
        service_rate: f64,
    ) -> QueuedRequest {
        if !self.cfg.parts.affinity || next.home == Some(target) {
            return next;
        }
        let queue = &self.pools[self.jobs[next.ticket].pool].queue;
        let Some(other) = queue.peek_for_home(now, service_rate, &next, target, &self.cfg) else {
            return next;
        };
        if self.select_target(now, other.ticket, capacity, None) == Some(target) {
            return other;
        }
        next
    }

    /// Returns the best target with capacity for a job, if any.
    pub(super) fn select_target(
        &mut self,
        now: Time,
        ticket: Ticket,
        capacity: Capacity,
        excluded: Option<TargetKey>,
    ) -> Option<TargetKey> {
        let job = &self.jobs[ticket];
        let pool = &mut self.pools[job.pool];
        let needed = pool.reserve.slots(now, &self.cfg) * self.router_count;
        let is_interactive = job.request.priority == Priority::Interactive;
        let holders = job
            .home
            .and(job.request.prefix)
            .map_or(&[][..], |p| self.cache_hints.holders(p));
        let context = SelectionContext {
            now,
            priority: job.request.priority,
            home: job.home,
            holders,
            routers: self.router_count,
            reserved_share: (needed / capacity.slots.max(1.0)).min(self.cfg.reserve_max),
            over_share: f64::from(capacity.own_requests) >= capacity.slots / self.router_count,
            may_probe: job.request.idempotent && (!is_interactive || capacity.reentry_only),
            excluded,
        };
        target_selection::select_target(
            &pool.members,
            &self.targets,
            context,
            &self.cfg,
            &mut self.rng,
        )
    }

    /// Records a run of a job at a target.
    pub(super) fn start(&mut self, now: Time, ticket: Ticket, key: TargetKey) {
        let job = &mut self.jobs[ticket];
        let target = &mut self.targets[key];
        if target.load.own_requests == 0 {
            target.health.last_activity = now;
        }
        target.load.own_requests += 1;
        target.load.own_non_interactive += u32::from(job.request.priority != Priority::Interactive);
        job.runs.push(Run {
            target: key,
            first_token_at: None,
            sampled_at: now,
            sampled_tokens: 0,
        });
        if !job.request.idempotent || job.hedged || job.request.priority == Priority::Batch {
            return;
        }
        let expected_s = (job.work - job.expected_output).max(0.0) / target.observed_slot_rate();
        let delay_s = (expected_s * self.cfg.hedge_factor).max(self.cfg.hedge_min_s);
        let at = now.plus_secs(delay_s);
        self.timers.push(Reverse(Timer {
            at,
            kind: TimerKind::FirstToken,
            ticket,
        }));
    }
}

/// Blocks a class and all less urgent ones; without capacity for the urgent class there is none for
/// the rest.
fn block_from(blocked: &mut BlockedClasses, priority: Priority) {
    for class in &mut blocked[priority.index()..] {
        *class = true;
    }
}
