//! Giving work to what is next in fair order.

use std::cmp::Reverse;

use super::Scheduler;
use super::timer::{Alarm, AlarmKind};
use crate::fair_queue::Blocked;
use crate::job::Run;
use crate::keys::PoolKey;
use crate::no_capacity_cache::Stuck;
use crate::pool::Capacity;
use crate::queued_request::Waiting;
use crate::target_selection::{self, Choosing};
use crate::{Decision, Priority, TargetKey, Ticket, TicketDecision, Time};

impl Scheduler {
    /// Gives work to whatever is next in fair order, as long as there is room.
    pub(super) fn dispatch(&mut self, now: Time, pool_key: PoolKey) {
        if self.finds_room(now, pool_key) {
            let capacity = self.capacity(now, pool_key);
            self.dispatch_within(now, pool_key, capacity);
        }
    }

    /// Returns whether anything waits for which it is worth looking for room.
    fn finds_room(&self, now: Time, pool_key: PoolKey) -> bool {
        let pool = &self.pools[pool_key];
        let stuck = pool.stuck.classes(now, self.changes);
        pool.lanes.is_waiting_beside(stuck)
    }

    /// The same with the pool's capacity known.
    pub(super) fn dispatch_within(&mut self, now: Time, pool_key: PoolKey, capacity: Capacity) {
        let stuck = self.pools[pool_key].stuck.classes(now, self.changes);
        if !self.pools[pool_key].lanes.is_waiting_beside(stuck) {
            return;
        }
        let mut blocked = stuck;
        let drain = self.pools[pool_key].drain(now, capacity, self.routers);
        let mut own = capacity.own;
        while let Some(next) = self.pools[pool_key]
            .lanes
            .peek(now, drain, blocked, &self.cfg)
        {
            let capacity = Capacity { own, ..capacity };
            let Some(target) = self.choose(now, next.ticket, capacity, None) else {
                block(&mut blocked, next.priority);
                continue;
            };
            let next = self.prefer_home(now, next, target, capacity, drain);
            let pool = &mut self.pools[pool_key];
            pool.lanes.take(&next);
            pool.lanes.charge(next.account, next.work);
            pool.gave(now, next.priority, next.work);
            pool.caution[next.priority.index()].learn(false);
            self.jobs[next.ticket].waiting = None;
            self.start(now, next.ticket, target);
            own += 1;
            let decision = Decision::Run { target };
            self.ready.push(TicketDecision {
                ticket: next.ticket,
                decision,
            });
        }
        if blocked != stuck {
            self.pools[pool_key].stuck = Stuck::new(blocked, now, self.changes);
        }
    }

    /// Returns the request to run at a target: the next, or one near it whose home it is.
    fn prefer_home(
        &mut self,
        now: Time,
        next: Waiting,
        target: TargetKey,
        capacity: Capacity,
        drain: f64,
    ) -> Waiting {
        if !self.cfg.parts.affinity || next.home == Some(target) {
            return next;
        }
        let lanes = &self.pools[self.jobs[next.ticket].pool].lanes;
        let Some(other) = lanes.peek_home(now, drain, &next, target, &self.cfg) else {
            return next;
        };
        if self.choose(now, other.ticket, capacity, None) == Some(target) {
            return other;
        }
        next
    }

    /// Returns the best target with room for a job, if any.
    pub(super) fn choose(
        &mut self,
        now: Time,
        ticket: Ticket,
        capacity: Capacity,
        except: Option<TargetKey>,
    ) -> Option<TargetKey> {
        let job = &self.jobs[ticket];
        let pool = &mut self.pools[job.pool];
        let need = pool.reserve.slots(now, &self.cfg) * self.routers;
        let urgent = job.facts.priority == Priority::Interactive;
        let holders = job
            .home
            .and(job.facts.prefix)
            .map_or(&[][..], |p| self.hints.holders(p));
        let choosing = Choosing {
            now,
            priority: job.facts.priority,
            home: job.home,
            holders,
            routers: self.routers,
            reserve: (need / capacity.slots.max(1.0)).min(self.cfg.reserve_max),
            over_share: f64::from(capacity.own) >= capacity.slots / self.routers,
            may_probe: job.facts.idempotent && (!urgent || capacity.last_resort),
            except,
        };
        target_selection::choose(
            &pool.members,
            &self.targets,
            choosing,
            &self.cfg,
            &mut self.rng,
        )
    }

    /// Notes a run of a job at a target.
    pub(super) fn start(&mut self, now: Time, ticket: Ticket, key: TargetKey) {
        let job = &mut self.jobs[ticket];
        let target = &mut self.targets[key];
        if target.load.own == 0 {
            target.health.last_sign = now;
        }
        target.load.own += 1;
        target.load.own_low += u32::from(job.facts.priority != Priority::Interactive);
        job.runs.push(Run {
            target: key,
            first_token_at: None,
            sampled_at: now,
            sampled_tokens: 0,
        });
        if !job.facts.idempotent || job.hedged || job.facts.priority == Priority::Batch {
            return;
        }
        let expected = (job.work - job.output).max(0.0) / target.real_slot_rate();
        let late = (expected * self.cfg.hedge_factor).max(self.cfg.hedge_min_s);
        let at = now.plus_secs(late);
        self.alarms.push(Reverse(Alarm {
            at,
            kind: AlarmKind::FirstToken,
            ticket,
        }));
    }
}

/// Blocks a class and all below it: what finds no room for urgent work finds none for the rest.
fn block(blocked: &mut Blocked, priority: Priority) {
    for class in &mut blocked[priority.index()..] {
        *class = true;
    }
}
