//! Discrete-event simulation of clients, routers and targets in virtual time.

mod event;
mod reports;
mod router;
mod runs;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wisteriapass_policy::{Decision, PolicyConfig, TargetKey, Ticket, Time};

use super::arrivals::{self, Request};
use super::engine::{Engine, RunId};
use super::pattern::{ROUTERS, TARGETS};
use super::tally::Tally;
use super::{END_SECS, MEASURE_SECS, Pattern, Policy, Summary, WARM_UP_SECS, bound};
use event::{Event, ScheduledEvent};
use router::{Router, RouterPolicy, SchedulerState};

/// One-way network delay between a router and a target, in seconds.
const NETWORK_DELAY_SECS: f64 = 0.0005;
/// Interval between load reports of a target, in seconds.
const REPORT_INTERVAL_SECS: f64 = 0.25;
/// Interval between simulated progress events of a run, in seconds.
const PROGRESS_INTERVAL_SECS: f64 = 0.5;
/// Delay of cache hints, in seconds.
const HINT_DELAY_SECS: f64 = 0.5;
/// Fraction of cache hints that is lost.
const HINT_LOSS: f64 = 0.2;
/// Minimum delay before a router is polled again without other events, in seconds.
const MIN_POLL_INTERVAL_SECS: f64 = 0.001;

/// State of one simulation.
pub(super) struct Simulation {
    pattern: Pattern,
    policy: Policy,
    seed: u64,
    requests: Vec<Request>,
    request_states: Vec<RequestState>,
    routers: Vec<Router>,
    engines: Vec<Engine>,
    runs: Vec<Run>,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    last_sequence: u64,
    tally: Tally,
    rng: ChaCha8Rng,
}

/// State of one request.
#[derive(Clone, Debug, Default)]
struct RequestState {
    ticket: Option<Ticket>,
    runs: Vec<RunId>,
    is_answering: bool,
    finished: bool,
}

/// State of one run.
#[derive(Clone, Copy, Debug)]
struct Run {
    request: usize,
    target: usize,
    first_token: Option<Time>,
    finished: bool,
}

impl Simulation {
    /// Creates a simulation with all arrivals and the first load reports scheduled.
    pub(super) fn new(pattern: Pattern, policy: Policy, seed: u64, cfg: &PolicyConfig) -> Self {
        let requests = arrivals::generate(pattern, seed);
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x9e37_79b9);
        let routers = (0..ROUTERS)
            .map(|r| Router::new(policy, rng.random(), r, cfg))
            .collect();
        let by_priority = policy == Policy::Ours;
        let engine = |t| Engine::new(pattern.fault(t), by_priority);
        let mut simulation = Self {
            pattern,
            policy,
            seed,
            request_states: vec![RequestState::default(); requests.len()],
            requests,
            routers,
            engines: (0..TARGETS).map(engine).collect(),
            runs: Vec::new(),
            events: BinaryHeap::new(),
            last_sequence: 0,
            tally: Tally::new(),
            rng,
        };
        simulation.schedule_initial_events();
        simulation
    }

    /// Runs the simulation to its end and returns the figures.
    pub(super) fn run(mut self) -> Summary {
        let end = Time::default().plus_secs(END_SECS);
        while let Some(Reverse(scheduled)) = self.events.pop() {
            if scheduled.at > end {
                break;
            }
            self.handle_event(scheduled.at, scheduled.event);
        }
        let bound = bound::max_output_tokens(self.pattern, &self.requests);
        Summary::new(self.pattern, self.policy, self.seed, &self.tally, bound)
    }

    /// Schedules the events that do not depend on decisions: arrivals and load reports.
    fn schedule_initial_events(&mut self) {
        for index in 0..self.requests.len() {
            let request = self.requests[index];
            if is_measured(request.arrives_at) {
                self.tally.requested_tokens[request.account] += f64::from(request.output_tokens);
            }
            self.schedule(request.arrives_at, Event::RequestArrival { request: index });
        }
        for target in 0..TARGETS {
            let shift = REPORT_INTERVAL_SECS * target as f64 / TARGETS as f64;
            self.schedule(
                Time::default().plus_secs(shift),
                Event::PublishLoad { target },
            );
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        if at == Time::MAX {
            return;
        }
        self.last_sequence += 1;
        self.events.push(Reverse(ScheduledEvent {
            at,
            sequence: self.last_sequence,
            event,
        }));
    }

    fn handle_event(&mut self, now: Time, event: Event) {
        match event {
            Event::RequestArrival { request } => self.handle_arrival(now, request),
            Event::RunArrival { run } => self.handle_run_arrival(now, run),
            Event::FirstToken { run } => self.handle_first_token(now, run),
            Event::Progress { run } => self.handle_progress(now, run),
            Event::RunEnd { run } => self.handle_run_end(now, run),
            Event::Deadline { request } => self.handle_deadline(now, request),
            Event::PublishLoad { target } => self.publish_load(now, target),
            Event::LoadReported {
                router,
                target,
                report,
            } => {
                self.update_scheduler(now, router, |state| {
                    state
                        .scheduler
                        .record_load_report(now, state.targets[target], report);
                });
            }
            Event::CacheHint {
                router,
                target,
                prefix,
                held,
            } => {
                self.update_scheduler(now, router, |state| {
                    state
                        .scheduler
                        .record_cache_hint(now, state.targets[target], prefix, held);
                });
            }
            Event::Wake { router } => self.wake_router(now, router),
        }
    }

    fn handle_arrival(&mut self, now: Time, index: usize) {
        let request = self.requests[index];
        self.schedule(request.deadline, Event::Deadline { request: index });
        match &mut self.routers[request.router].policy {
            RouterPolicy::Baseline(baseline) => {
                let target = baseline.choose_target();
                self.send_run(now, index, target);
            }
            RouterPolicy::Scheduler(state) => {
                let (ticket, decision) = state.scheduler.offer(now, state.request_info(&request));
                if !matches!(decision, Decision::Refuse { .. }) {
                    state.requests_by_ticket.insert(ticket, index);
                    self.request_states[index].ticket = Some(ticket);
                }
                self.apply_decision(now, index, decision);
                self.poll_scheduler(now, request.router);
            }
        }
    }

    fn apply_decision(&mut self, now: Time, index: usize, decision: Decision) {
        match decision {
            Decision::Wait { .. } => {}
            Decision::Run { target } | Decision::Hedge { target } => {
                let router = self.requests[index].router;
                let RouterPolicy::Scheduler(state) = &self.routers[router].policy else {
                    return;
                };
                let target = state.target_indices[target];
                self.send_run(now, index, target);
            }
            Decision::Refuse { reason, retry_at } => {
                let at = self.requests[index].arrives_at;
                if is_measured(at) {
                    self.tally.record_refusal(reason, now.secs_since(at));
                }
                self.request_states[index].finished = true;
                self.schedule_retry(index, retry_at);
            }
        }
    }

    /// Schedules one retry of a refused request, at the given time and through a random router.
    fn schedule_retry(&mut self, index: usize, at: Time) {
        let request = self.requests[index];
        let end = Time::default().plus_secs(END_SECS);
        let allowed = request.deadline.secs_since(request.arrives_at);
        // Retries whose deadline is after the end of the simulation would count as unanswered.
        if request.attempt > 0 || at.plus_secs(allowed) > end {
            return;
        }
        let retry = request.retry(at, self.rng.random_range(0..ROUTERS));
        self.requests.push(retry);
        self.request_states.push(RequestState::default());
        self.tally.retries += 1;
        let request = self.requests.len() - 1;
        self.schedule(at, Event::RequestArrival { request });
    }

    /// Reports an event of a run to the scheduler of its router.
    fn update_run(
        &mut self,
        now: Time,
        run: Run,
        f: impl FnOnce(&mut SchedulerState, Ticket, TargetKey),
    ) {
        let Some(ticket) = self.request_states[run.request].ticket else {
            return;
        };
        let router = self.requests[run.request].router;
        self.update_scheduler(now, router, |state| {
            let key = state.targets[run.target];
            f(state, ticket, key);
        });
    }

    /// Updates the scheduler of a router and applies the resulting decisions.
    fn update_scheduler(&mut self, now: Time, router: usize, f: impl FnOnce(&mut SchedulerState)) {
        if let RouterPolicy::Scheduler(state) = &mut self.routers[router].policy {
            f(state);
            self.poll_scheduler(now, router);
        }
    }

    fn wake_router(&mut self, now: Time, router: usize) {
        if self.routers[router].wake_at <= now {
            self.routers[router].wake_at = Time::MAX;
            self.poll_scheduler(now, router);
        }
    }

    /// Polls the scheduler of a router, applies its decisions and schedules the next poll.
    fn poll_scheduler(&mut self, now: Time, router: usize) {
        let RouterPolicy::Scheduler(state) = &mut self.routers[router].policy else {
            return;
        };
        let decided = state.scheduler.poll(now);
        let decisions: Vec<(usize, Decision)> = decided
            .iter()
            .filter_map(|d| {
                state
                    .requests_by_ticket
                    .get(&d.ticket)
                    .map(|&index| (index, d.decision))
            })
            .collect();
        let next = state.scheduler.next_wake(now).unwrap_or(Time::MAX);
        for (index, decision) in decisions {
            self.apply_decision(now, index, decision);
        }
        let next = next.max(now.plus_secs(MIN_POLL_INTERVAL_SECS));
        if next < self.routers[router].wake_at {
            self.routers[router].wake_at = next;
            self.schedule(next, Event::Wake { router });
        }
    }
}

/// Returns whether a time is within the measurement.
fn is_measured(at: Time) -> bool {
    let begin = Time::default().plus_secs(WARM_UP_SECS);
    at >= begin && at < begin.plus_secs(MEASURE_SECS)
}
