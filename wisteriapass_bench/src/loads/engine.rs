//! Model of one target: slots, a token rate, a queue and a prefix cache.

use std::collections::VecDeque;

use wisteriapass_policy::{Priority, Time};

use super::arrivals::{PROMPT_TOKEN_WORK, Request};
use super::pattern::{Fault, SLOTS, TOKENS_PER_S};

/// Capacity of the prefix cache, which evicts the least recently used prefix.
const CACHED_PREFIXES: usize = 24;

/// Index of a run in the simulation's list of runs.
pub(super) type RunId = usize;

/// A run as its engine knows it.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineRun {
    pub(super) id: RunId,
    pub(super) router: usize,
    pub(super) priority: Priority,
}

/// Times of the first and last token of a started run.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunTimes {
    pub(super) first_token: Time,
    pub(super) end: Time,
}

/// Model of one target.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    fault: Fault,
    pub(super) running: Vec<EngineRun>,
    pub(super) queue: VecDeque<EngineRun>,
    /// Whether the queue is ordered by priority, which requires routers that send priorities.
    by_priority: bool,
    cached_prefixes: Vec<u64>,
}

impl Engine {
    /// Creates an idle engine.
    pub(super) fn new(fault: Fault, by_priority: bool) -> Self {
        Self {
            fault,
            running: Vec::new(),
            queue: VecDeque::new(),
            by_priority,
            cached_prefixes: Vec::new(),
        }
    }

    /// Adds a run to the queue, in order of priority if enabled.
    pub(super) fn enqueue(&mut self, run: EngineRun) {
        let goes_before = |r: &EngineRun| !self.by_priority || r.priority <= run.priority;
        let index = self.queue.iter().take_while(|r| goes_before(r)).count();
        self.queue.insert(index, run);
    }

    /// Moves the next queued run into a free slot, if there are both.
    pub(super) fn dequeue(&mut self) -> Option<EngineRun> {
        if self.running.len() >= SLOTS as usize {
            return None;
        }
        let run = self.queue.pop_front()?;
        self.running.push(run);
        Some(run)
    }

    /// Removes a run from its slot or from the queue.
    pub(super) fn remove(&mut self, id: RunId) {
        self.running.retain(|r| r.id != id);
        self.queue.retain(|r| r.id != id);
    }

    /// Starts a run, which processes the uncached part of the prompt and then generates the output.
    pub(super) fn start_run(&mut self, now: Time, request: &Request) -> RunTimes {
        let is_cached = request.prefix.is_some_and(|p| self.has_cached(p));
        let cached_tokens = if is_cached { request.prefix_tokens } else { 0 };
        let prompt_work = f64::from(request.prompt_tokens - cached_tokens) * PROMPT_TOKEN_WORK;
        let first_token = self.completion_time(now, prompt_work + 1.0);
        let end = self.completion_time(now, prompt_work + f64::from(request.output_tokens));
        RunTimes { first_token, end }
    }

    pub(super) fn has_cached(&self, prefix: u64) -> bool {
        self.cached_prefixes.contains(&prefix)
    }

    /// Returns whether the engine runs at its nominal speed.
    pub(super) fn is_healthy(&self, now: Time) -> bool {
        now < Time::default().plus_secs(self.fault.starts_at_secs)
    }

    /// Marks a prefix as the most recently used and returns the evicted prefix, if any.
    pub(super) fn cache_prefix(&mut self, prefix: u64) -> Option<u64> {
        self.cached_prefixes.retain(|&p| p != prefix);
        self.cached_prefixes.push(prefix);
        (self.cached_prefixes.len() > CACHED_PREFIXES).then(|| self.cached_prefixes.remove(0))
    }

    /// Returns the tokens that a slot generates in a time span, without prompt processing.
    pub(super) fn tokens_between(&self, from: Time, to: Time) -> f64 {
        let fault_at = Time::default().plus_secs(self.fault.starts_at_secs);
        let healthy_secs = fault_at.min(to).secs_since(from);
        let faulty_secs = to.secs_since(fault_at.max(from));
        (healthy_secs + faulty_secs * self.fault.speed) * slot_rate()
    }

    /// Returns when a slot that starts now completes this work.
    fn completion_time(&self, now: Time, work: f64) -> Time {
        let fault_at = Time::default().plus_secs(self.fault.starts_at_secs);
        let healthy_work = fault_at.secs_since(now) * slot_rate();
        if work <= healthy_work {
            return now.plus_secs(work / slot_rate());
        }
        if self.fault.speed <= 0.0 {
            return Time::MAX;
        }
        now.max(fault_at)
            .plus_secs((work - healthy_work) / (slot_rate() * self.fault.speed))
    }
}

/// Returns the rate of one slot, in tokens per second.
pub(super) fn slot_rate() -> f64 {
    f64::from(TOKENS_PER_S) / f64::from(SLOTS)
}
