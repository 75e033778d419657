//! One play: events in virtual time between callers, routers and targets.

mod event;
mod news;
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
use event::{Event, Timed};
use router::{Decides, Ours, Router};

/// One way between a router and a target, in seconds.
const HOP_S: f64 = 0.0005;
/// Time between a target's load reports, in seconds.
const REPORT_EVERY_S: f64 = 0.25;
/// Time between a run's signs of progress that the model plays, in seconds.
const PROGRESS_EVERY_S: f64 = 0.5;
/// Delay of cache hints, in seconds.
const HINT_DELAY_S: f64 = 0.5;
/// Share of cache hints that is lost.
const HINT_LOSS: f64 = 0.2;
/// Shortest time between two polls of a router without other events, in seconds.
const POLL_STEP_S: f64 = 0.001;

/// One play.
pub(super) struct Play {
    pattern: Pattern,
    policy: Policy,
    seed: u64,
    requests: Vec<Request>,
    callers: Vec<RpcClient>,
    routers: Vec<Router>,
    engines: Vec<Engine>,
    runs: Vec<Run>,
    events: BinaryHeap<Reverse<Timed>>,
    made: u64,
    tally: Tally,
    rng: ChaCha8Rng,
}

/// One request's state.
#[derive(Clone, Debug, Default)]
struct RpcClient {
    ticket: Option<Ticket>,
    runs: Vec<RunId>,
    answering: bool,
    over: bool,
}

/// One run's state.
#[derive(Clone, Copy, Debug)]
struct Run {
    request: usize,
    target: usize,
    first_token: Option<Time>,
    over: bool,
}

impl Play {
    /// Creates a play.
    pub(super) fn new(pattern: Pattern, policy: Policy, seed: u64, cfg: &PolicyConfig) -> Self {
        let requests = arrivals::draw(pattern, seed);
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x9e37_79b9);
        let routers = (0..ROUTERS)
            .map(|r| Router::new(policy, rng.random(), r, cfg))
            .collect();
        let by_priority = policy == Policy::Ours;
        let engine = |t| Engine::new(pattern.faults(t), by_priority);
        let mut play = Self {
            pattern,
            policy,
            seed,
            callers: vec![RpcClient::default(); requests.len()],
            requests,
            routers,
            engines: (0..TARGETS).map(engine).collect(),
            runs: Vec::new(),
            events: BinaryHeap::new(),
            made: 0,
            tally: Tally::new(),
            rng,
        };
        play.begin();
        play
    }

    /// Plays to the end and sums up.
    pub(super) fn run(mut self) -> Summary {
        let end = Time::default().plus_secs(END_SECS);
        while let Some(Reverse(timed)) = self.events.pop() {
            if timed.at > end {
                break;
            }
            self.act(timed.at, timed.event);
        }
        let bound = bound::tokens(self.pattern, &self.requests);
        Summary::new(self.pattern, self.policy, self.seed, &self.tally, bound)
    }

    /// Schedules what happens whatever is decided.
    fn begin(&mut self) {
        for place in 0..self.requests.len() {
            let request = self.requests[place];
            if counts(request.at) {
                self.tally.asked[request.account] += f64::from(request.output);
            }
            self.at(request.at, Event::Arrive { request: place });
        }
        for target in 0..TARGETS {
            let shift = REPORT_EVERY_S * target as f64 / TARGETS as f64;
            self.at(Time::default().plus_secs(shift), Event::Report { target });
        }
    }

    fn at(&mut self, at: Time, event: Event) {
        if at == Time::MAX {
            return;
        }
        self.made += 1;
        self.events.push(Reverse(Timed {
            at,
            order: self.made,
            event,
        }));
    }

    fn act(&mut self, now: Time, event: Event) {
        match event {
            Event::Arrive { request } => self.arrive(now, request),
            Event::Reach { run } => self.reach(now, run),
            Event::FirstToken { run } => self.first_token(now, run),
            Event::Progress { run } => self.progress(now, run),
            Event::End { run } => self.end(now, run),
            Event::Deadline { request } => self.deadline(now, request),
            Event::Report { target } => self.report(now, target),
            Event::Reported {
                router,
                target,
                report,
            } => {
                self.tell(now, router, |ours| {
                    ours.scheduler
                        .record_load_report(now, ours.targets[target], report);
                });
            }
            Event::Hint {
                router,
                target,
                prefix,
                held,
            } => {
                self.tell(now, router, |ours| {
                    ours.scheduler
                        .record_cache_hint(now, ours.targets[target], prefix, held);
                });
            }
            Event::Wake { router } => self.wake(now, router),
        }
    }

    fn arrive(&mut self, now: Time, place: usize) {
        let request = self.requests[place];
        self.at(request.deadline, Event::Deadline { request: place });
        match &mut self.routers[request.router].decides {
            Decides::Baseline(b) => {
                let target = b.choose();
                self.send(now, place, target);
            }
            Decides::Ours(ours) => {
                let (ticket, decision) = ours.scheduler.offer(now, ours.facts(&request));
                if !matches!(decision, Decision::Refuse { .. }) {
                    ours.requests.insert(ticket, place);
                    self.callers[place].ticket = Some(ticket);
                }
                self.carry_out(now, place, decision);
                self.poll(now, request.router);
            }
        }
    }

    /// Carries out a decision about a request.
    fn carry_out(&mut self, now: Time, place: usize, decision: Decision) {
        match decision {
            Decision::Wait { .. } => {}
            Decision::Run { target } | Decision::Hedge { target } => {
                let router = self.requests[place].router;
                let Decides::Ours(ours) = &self.routers[router].decides else {
                    return;
                };
                let target = ours.places[target];
                self.send(now, place, target);
            }
            Decision::Refuse {
                reason,
                retry_at: come_back,
            } => {
                let at = self.requests[place].at;
                if counts(at) {
                    self.tally.refused(reason, now.secs_since(at));
                }
                self.callers[place].over = true;
                self.come_back(place, come_back);
            }
        }
    }

    /// Has a refused caller come back once as told, by any router.
    fn come_back(&mut self, place: usize, at: Time) {
        let request = self.requests[place];
        let end = Time::default().plus_secs(END_SECS);
        let allowed = request.deadline.secs_since(request.at);
        // Only those count whose answer, right or late, falls within the play.
        if request.attempt > 0 || at.plus_secs(allowed) > end {
            return;
        }
        let again = request.again(at, self.rng.random_range(0..ROUTERS));
        self.requests.push(again);
        self.callers.push(RpcClient::default());
        self.tally.returned += 1;
        let request = self.requests.len() - 1;
        self.at(at, Event::Arrive { request });
    }

    /// Tells a router's scheduler of one of its runs.
    fn tell_of(&mut self, now: Time, run: Run, f: impl FnOnce(&mut Ours, Ticket, TargetKey)) {
        let Some(ticket) = self.callers[run.request].ticket else {
            return;
        };
        let router = self.requests[run.request].router;
        self.tell(now, router, |ours| {
            let key = ours.targets[run.target];
            f(ours, ticket, key);
        });
    }

    /// Tells a router's scheduler something and carries out what it decides.
    fn tell(&mut self, now: Time, router: usize, f: impl FnOnce(&mut Ours)) {
        if let Decides::Ours(ours) = &mut self.routers[router].decides {
            f(ours);
            self.poll(now, router);
        }
    }

    fn wake(&mut self, now: Time, router: usize) {
        if self.routers[router].wake <= now {
            self.routers[router].wake = Time::MAX;
            self.poll(now, router);
        }
    }

    /// Polls a router's scheduler, and again when it asks to.
    fn poll(&mut self, now: Time, router: usize) {
        let Decides::Ours(ours) = &mut self.routers[router].decides else {
            return;
        };
        let decided = ours.scheduler.poll(now);
        let places: Vec<(usize, Decision)> = decided
            .iter()
            .filter_map(|d| ours.requests.get(&d.ticket).map(|&p| (p, d.decision)))
            .collect();
        let next = ours.scheduler.next_wake(now).unwrap_or(Time::MAX);
        for (place, decision) in places {
            self.carry_out(now, place, decision);
        }
        let next = next.max(now.plus_secs(POLL_STEP_S));
        if next < self.routers[router].wake {
            self.routers[router].wake = next;
            self.at(next, Event::Wake { router });
        }
    }
}

/// Returns whether what arrives at a time is measured.
fn counts(at: Time) -> bool {
    let begin = Time::default().plus_secs(WARM_UP_SECS);
    at >= begin && at < begin.plus_secs(MEASURE_SECS)
}
