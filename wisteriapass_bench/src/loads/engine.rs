//! Model of one target: slots, a rate in tokens, a queue and a prefix cache.

use std::collections::VecDeque;

use wisteriapass_policy::{Priority, Time};

use super::arrivals::{PROMPT_WORK, Request};
use super::pattern::{Fault, SLOTS, TOKENS_PER_S};

/// Prefixes an engine holds; the least recently used goes first.
const CACHED: usize = 24;

/// One run in an engine, by its place in the play's list.
pub(super) type RunId = usize;

/// A run as its engine sees it.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineRun {
    pub(super) id: RunId,
    pub(super) router: usize,
    pub(super) priority: Priority,
}

/// When a run that began gives its first and its last token.
#[derive(Clone, Copy, Debug)]
pub(super) struct Begun {
    pub(super) first_token: Time,
    pub(super) end: Time,
}

/// Model of one target.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    fault: Fault,
    pub(super) running: Vec<EngineRun>,
    pub(super) queue: VecDeque<EngineRun>,
    /// Whether it takes urgent work first, as it does if the router says what is urgent.
    by_priority: bool,
    cached: Vec<u64>,
}

impl Engine {
    /// Creates an idle engine.
    pub(super) fn new(fault: Fault, by_priority: bool) -> Self {
        Self {
            fault,
            running: Vec::new(),
            queue: VecDeque::new(),
            by_priority,
            cached: Vec::new(),
        }
    }

    /// Takes a run into the queue.
    pub(super) fn push(&mut self, run: EngineRun) {
        let before = |r: &EngineRun| !self.by_priority || r.priority <= run.priority;
        let place = self.queue.iter().take_while(|r| before(r)).count();
        self.queue.insert(place, run);
    }

    /// Moves the next run into a slot, if there are both.
    pub(super) fn next(&mut self) -> Option<EngineRun> {
        if self.running.len() >= SLOTS as usize {
            return None;
        }
        let run = self.queue.pop_front()?;
        self.running.push(run);
        Some(run)
    }

    /// Forgets a run, wherever it is.
    pub(super) fn remove(&mut self, id: RunId) {
        self.running.retain(|r| r.id != id);
        self.queue.retain(|r| r.id != id);
    }

    /// Begins a run: reads its prompt, but for what is cached, and then generates.
    pub(super) fn begin(&mut self, now: Time, request: &Request) -> Begun {
        let hit = request.prefix.is_some_and(|p| self.holds(p));
        let known = if hit { request.prefix_tokens } else { 0 };
        let prompt = f64::from(request.prompt - known) * PROMPT_WORK;
        let first_token = self.after(now, prompt + 1.0);
        let end = self.after(now, prompt + f64::from(request.output));
        Begun { first_token, end }
    }

    /// Returns whether it holds a prefix.
    pub(super) fn holds(&self, prefix: u64) -> bool {
        self.cached.contains(&prefix)
    }

    /// Returns whether it works at its nominal speed.
    pub(super) fn is_well(&self, now: Time) -> bool {
        now < Time::default().plus_secs(self.fault.from)
    }

    /// Holds a prefix; returns the one that had to go.
    pub(super) fn cache(&mut self, prefix: u64) -> Option<u64> {
        self.cached.retain(|&p| p != prefix);
        self.cached.push(prefix);
        (self.cached.len() > CACHED).then(|| self.cached.remove(0))
    }

    /// Returns the tokens a slot generates in a span, without its prompt.
    pub(super) fn tokens_between(&self, from: Time, to: Time) -> f64 {
        let fault_at = Time::default().plus_secs(self.fault.from);
        let well = fault_at.min(to).secs_since(from);
        let ill = to.secs_since(fault_at.max(from));
        (well + ill * self.fault.speed) * slot_rate()
    }

    /// Returns when a slot that begins now has done this work.
    fn after(&self, now: Time, work: f64) -> Time {
        let fault_at = Time::default().plus_secs(self.fault.from);
        let well = fault_at.secs_since(now) * slot_rate();
        if work <= well {
            return now.plus_secs(work / slot_rate());
        }
        if self.fault.speed <= 0.0 {
            return Time::MAX;
        }
        now.max(fault_at)
            .plus_secs((work - well) / (slot_rate() * self.fault.speed))
    }
}

/// Returns what one slot generates, in tokens a second.
pub(super) fn slot_rate() -> f64 {
    f64::from(TOKENS_PER_S) / f64::from(SLOTS)
}
