//! The targets that can serve one kind of request, and the requests that wait for them.

use slotmap::SlotMap;

use crate::config::{FIRST_LENGTH_SHARE, FIRST_TAIL_SHARE, LEARNING_STEP, SERVICE_CALL_WORK};
use crate::fair_queue::Lanes;
use crate::no_capacity_cache::Stuck;
use crate::reserve::Reserve;
use crate::target::Target;
use crate::wait_correction::Caution;
use crate::{PolicyConfig, Priority, RequestInfo, RequiredResource, TargetKey, Time};

/// Memory of the work given to each class, in seconds.
const GIVEN_MEMORY_S: f64 = 10.0;
/// Least share of the pool that ageing leaves to the lowest class.
const LEAST_LEFT: f64 = 0.1;
/// Memory of the pool's measured output, in seconds.
const DONE_MEMORY_S: f64 = 5.0;

/// The targets that can serve one kind of request.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) wants: RequiredResource,
    pub(crate) members: Vec<TargetKey>,
    pub(crate) lanes: Lanes,
    pub(crate) reserve: Reserve,
    /// Work given to each class lately, in tokens a second.
    given: [f64; 3],
    given_at: Time,
    /// Classes that found no room when it was last looked for.
    pub(crate) stuck: Stuck,
    length_share: [f64; 3],
    tail_share: [f64; 3],
    /// What admission learned of its own estimates.
    pub(crate) caution: [Caution; 3],
    done: f64,
    done_at: Time,
}

impl Pool {
    /// Creates a pool without members.
    pub(crate) fn new(wants: RequiredResource) -> Self {
        Self {
            wants,
            members: Vec::new(),
            lanes: Lanes::default(),
            reserve: Reserve::default(),
            given: [0.0; 3],
            given_at: Time::default(),
            stuck: Stuck::default(),
            length_share: [FIRST_LENGTH_SHARE; 3],
            tail_share: [FIRST_TAIL_SHARE; 3],
            caution: [Caution::default(); 3],
            done: 0.0,
            done_at: Time::default(),
        }
    }

    /// Returns the expected output of a request, in tokens.
    pub(crate) fn expected_output(&self, facts: &RequestInfo) -> f64 {
        match self.wants {
            RequiredResource::Service { .. } => SERVICE_CALL_WORK,
            RequiredResource::Model { .. } => {
                f64::from(facts.max_tokens) * self.length_share[facts.priority.index()]
            }
        }
    }

    /// Returns the output that a request stays below nearly always, in tokens.
    pub(crate) fn longest_output(&self, facts: &RequestInfo) -> f64 {
        match self.wants {
            RequiredResource::Service { .. } => SERVICE_CALL_WORK,
            RequiredResource::Model { .. } => {
                f64::from(facts.max_tokens) * self.tail_share[facts.priority.index()]
            }
        }
    }

    /// Returns the expected work of a request's prompt, in output tokens.
    pub(crate) fn prompt_work(&self, facts: &RequestInfo, cfg: &PolicyConfig) -> f64 {
        match self.wants {
            RequiredResource::Service { .. } => 0.0,
            RequiredResource::Model { .. } => {
                f64::from(facts.prompt_tokens) * cfg.prompt_token_work
            }
        }
    }

    /// Learns how much of its allowance an answer used.
    pub(crate) fn learn_length(
        &mut self,
        priority: Priority,
        used: f64,
        allowed: f64,
        cfg: &PolicyConfig,
    ) {
        let share = &mut self.length_share[priority.index()];
        let seen = (used / allowed.max(1.0)).clamp(0.01, 1.0);
        *share += (seen - *share) * LEARNING_STEP;
        // Steps of these sizes balance where the wanted share of answers is below.
        let tail = &mut self.tail_share[priority.index()];
        let below = if seen <= *tail { 1.0 } else { 0.0 };
        *tail = (*tail + (cfg.length_quantile - below) * LEARNING_STEP).clamp(0.01, 1.0);
    }

    /// Counts work given to a class, in tokens.
    pub(crate) fn gave(&mut self, now: Time, priority: Priority, work: f64) {
        let kept = (-now.secs_since(self.given_at) / GIVEN_MEMORY_S).exp();
        self.given.iter_mut().for_each(|g| *g *= kept);
        self.given[priority.index()] += work / GIVEN_MEMORY_S;
        self.given_at = now;
    }

    /// Returns the share of the pool that more urgent classes leave to a class.
    pub(crate) fn left_to(&self, now: Time, priority: Priority, drain: f64) -> f64 {
        let kept = (-now.secs_since(self.given_at) / GIVEN_MEMORY_S).exp();
        let above: f64 = self.given[..priority.index()].iter().sum();
        (1.0 - above * kept / drain).max(LEAST_LEFT)
    }

    /// Counts finished work, in tokens.
    pub(crate) fn finished(&mut self, now: Time, work: f64) {
        self.done = self.done_rate(now) + work / DONE_MEMORY_S;
        self.done_at = now;
    }

    /// Returns the work this router's runs finished lately, in tokens a second.
    fn done_rate(&self, now: Time) -> f64 {
        self.done * (-now.secs_since(self.done_at) / DONE_MEMORY_S).exp()
    }

    /// Returns what the pool can do, in tokens a second, and its slots.
    pub(crate) fn capacity(
        &self,
        now: Time,
        targets: &SlotMap<TargetKey, Target>,
        cfg: &PolicyConfig,
    ) -> Capacity {
        let mut capacity = Capacity::default();
        let (mut reentry_slots, mut reentry_rate) = (0.0, 0.0);
        for target in self.members.iter().filter_map(|&k| targets.get(k)) {
            capacity.own += target.load.own;
            if target.works(now, cfg) {
                capacity.slots += target.slots();
                capacity.rate += target.slots() * target.real_slot_rate();
            } else if target.open() && target.health.limit(now) > 0 {
                reentry_slots += target.slots();
                reentry_rate += target.slots() * target.slot_rate();
            }
        }
        if capacity.slots == 0.0 {
            capacity.last_resort = true;
            capacity.slots = reentry_slots;
            capacity.rate = reentry_rate;
        }
        capacity
    }

    /// Returns what this router gets of the pool, in tokens a second.
    ///
    /// It is the larger of its equal share and of what its runs finish, since unused shares of
    /// other routers are there for the taking.
    pub(crate) fn drain(&self, now: Time, capacity: Capacity, routers: f64) -> f64 {
        let equal = capacity.rate / routers;
        let mean_slot = capacity.rate / capacity.slots.max(1.0);
        let running = f64::from(capacity.own) * mean_slot;
        let proven = self.done_rate(now).max(running.min(capacity.rate * 0.9));
        equal.max(proven).max(1.0)
    }
}

/// What a pool can do now.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Capacity {
    /// Slots of its working members.
    pub(crate) slots: f64,
    /// Tokens a second with all of them busy.
    pub(crate) rate: f64,
    /// This router's requests in flight.
    pub(crate) own: u32,
    /// Whether none of its members works well, so that those in re-entry stand for the pool.
    pub(crate) last_resort: bool,
}
