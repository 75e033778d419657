//! The targets that can serve one kind of request, and the requests queued for them.

use slotmap::SlotMap;

use crate::config::{
    INITIAL_LENGTH_SHARE, INITIAL_TAIL_SHARE, LENGTH_LEARNING_RATE, SERVICE_CALL_TOKENS,
};
use crate::fair_queue::FairQueue;
use crate::no_capacity_cache::NoCapacityCache;
use crate::reserve::InteractiveReserve;
use crate::target::Target;
use crate::wait_correction::WaitCorrection;
use crate::{PolicyConfig, Priority, RequestInfo, RequiredResource, TargetKey, Time};

/// Time constant of the average work dispatched per class, in seconds.
const DISPATCH_MEMORY_S: f64 = 10.0;
/// Minimum share of the pool that is assumed to be left for the lowest class, due to ageing.
const MIN_REMAINING_SHARE: f64 = 0.1;
/// Time constant of the average completed work, in seconds.
const COMPLETED_MEMORY_S: f64 = 5.0;

/// The targets that can serve one kind of request.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) resource: RequiredResource,
    pub(crate) members: Vec<TargetKey>,
    pub(crate) queue: FairQueue,
    pub(crate) reserve: InteractiveReserve,
    /// Work recently dispatched for each class, in tokens per second.
    dispatched: [f64; 3],
    dispatched_at: Time,
    /// Classes that found no capacity in the last search.
    pub(crate) no_capacity: NoCapacityCache,
    length_share: [f64; 3],
    tail_share: [f64; 3],
    /// Learned corrections of the wait estimates, by class.
    pub(crate) wait_correction: [WaitCorrection; 3],
    completed: f64,
    completed_at: Time,
}

impl Pool {
    pub(crate) fn new(resource: RequiredResource) -> Self {
        Self {
            resource,
            members: Vec::new(),
            queue: FairQueue::default(),
            reserve: InteractiveReserve::default(),
            dispatched: [0.0; 3],
            dispatched_at: Time::default(),
            no_capacity: NoCapacityCache::default(),
            length_share: [INITIAL_LENGTH_SHARE; 3],
            tail_share: [INITIAL_TAIL_SHARE; 3],
            wait_correction: [WaitCorrection::default(); 3],
            completed: 0.0,
            completed_at: Time::default(),
        }
    }

    /// Returns the expected output of a request, in tokens.
    pub(crate) fn expected_output(&self, request: &RequestInfo) -> f64 {
        match self.resource {
            RequiredResource::Service { .. } => SERVICE_CALL_TOKENS,
            RequiredResource::Model { .. } => {
                f64::from(request.max_tokens) * self.length_share[request.priority.index()]
            }
        }
    }

    /// Returns the output length that a request rarely exceeds, in tokens.
    pub(crate) fn tail_output(&self, request: &RequestInfo) -> f64 {
        match self.resource {
            RequiredResource::Service { .. } => SERVICE_CALL_TOKENS,
            RequiredResource::Model { .. } => {
                f64::from(request.max_tokens) * self.tail_share[request.priority.index()]
            }
        }
    }

    /// Returns the expected work of a request's prompt, in output tokens.
    pub(crate) fn prompt_work(&self, request: &RequestInfo, cfg: &PolicyConfig) -> f64 {
        match self.resource {
            RequiredResource::Service { .. } => 0.0,
            RequiredResource::Model { .. } => {
                f64::from(request.prompt_tokens) * cfg.prompt_token_work
            }
        }
    }

    /// Learns which share of the allowed output an answer used.
    pub(crate) fn learn_length(
        &mut self,
        priority: Priority,
        used: f64,
        allowed: f64,
        cfg: &PolicyConfig,
    ) {
        let share = &mut self.length_share[priority.index()];
        let used_share = (used / allowed.max(1.0)).clamp(0.01, 1.0);
        *share += (used_share - *share) * LENGTH_LEARNING_RATE;
        // The estimate rises after a longer answer and falls after one that is not. It settles
        // where the rises and falls cancel out, at the configured quantile of the answers.
        let tail = &mut self.tail_share[priority.index()];
        let is_below = if used_share <= *tail { 1.0 } else { 0.0 };
        *tail = (*tail + (cfg.length_quantile - is_below) * LENGTH_LEARNING_RATE).clamp(0.01, 1.0);
    }

    /// Records work dispatched for a class, in tokens.
    pub(crate) fn record_dispatch(&mut self, now: Time, priority: Priority, work: f64) {
        let decay = (-now.secs_since(self.dispatched_at) / DISPATCH_MEMORY_S).exp();
        self.dispatched.iter_mut().for_each(|rate| *rate *= decay);
        self.dispatched[priority.index()] += work / DISPATCH_MEMORY_S;
        self.dispatched_at = now;
    }

    /// Returns the share of the pool that more urgent classes leave for a class.
    pub(crate) fn remaining_share(&self, now: Time, priority: Priority, service_rate: f64) -> f64 {
        let decay = (-now.secs_since(self.dispatched_at) / DISPATCH_MEMORY_S).exp();
        let more_urgent: f64 = self.dispatched[..priority.index()].iter().sum();
        (1.0 - more_urgent * decay / service_rate).max(MIN_REMAINING_SHARE)
    }

    /// Records completed work, in tokens.
    pub(crate) fn record_completed(&mut self, now: Time, work: f64) {
        self.completed = self.completed_rate(now) + work / COMPLETED_MEMORY_S;
        self.completed_at = now;
    }

    /// Returns the work recently completed by this router's runs, in tokens per second.
    fn completed_rate(&self, now: Time) -> f64 {
        self.completed * (-now.secs_since(self.completed_at) / COMPLETED_MEMORY_S).exp()
    }

    pub(crate) fn capacity(
        &self,
        now: Time,
        targets: &SlotMap<TargetKey, Target>,
        cfg: &PolicyConfig,
    ) -> Capacity {
        let mut capacity = Capacity::default();
        let (mut reentry_slots, mut reentry_rate) = (0.0, 0.0);
        for target in self.members.iter().filter_map(|&k| targets.get(k)) {
            capacity.own_requests += target.load.own_requests;
            if target.is_usable(now, cfg) {
                capacity.slots += target.slots();
                capacity.rate += target.slots() * target.observed_slot_rate();
            } else if target.accepts_requests() && target.health.limit(now) > 0 {
                reentry_slots += target.slots();
                reentry_rate += target.slots() * target.nominal_slot_rate();
            }
        }
        if capacity.slots == 0.0 {
            capacity.reentry_only = true;
            capacity.slots = reentry_slots;
            capacity.rate = reentry_rate;
        }
        capacity
    }

    /// Returns the service rate of this router in the pool, in tokens per second.
    ///
    /// It is the larger of its equal share and its observed rate, since routers may use the unused
    /// shares of others.
    pub(crate) fn service_rate(&self, now: Time, capacity: Capacity, routers: f64) -> f64 {
        let equal_share = capacity.rate / routers;
        let mean_slot_rate = capacity.rate / capacity.slots.max(1.0);
        let running = f64::from(capacity.own_requests) * mean_slot_rate;
        let observed = self
            .completed_rate(now)
            .max(running.min(capacity.rate * 0.9));
        equal_share.max(observed).max(1.0)
    }
}

/// Current capacity of a pool.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Capacity {
    /// Slots of its usable members.
    pub(crate) slots: f64,
    /// Rate with all these slots busy, in tokens per second.
    pub(crate) rate: f64,
    /// This router's requests in flight.
    pub(crate) own_requests: u32,
    /// Whether no member is usable, so that the capacity is that of members in re-entry.
    pub(crate) reentry_only: bool,
}
