//! One play: events in virtual time between callers, routers and targets.

mod event;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::SecondaryMap;
use wisteriapass_policy::{
    AccountKey, Decision, LoadReport, Outcome, PolicyConfig, Priority, RequestFacts, Scheduler,
    TargetKey, Ticket, Time, Wants,
};

use super::arrivals::{self, Request};
use super::balancer::{self, Baseline, MODEL};
use super::engine::{Engine, EngineRun, RunId};
use super::pattern::{ROUTERS, SLOTS, TARGETS};
use super::tally::Tally;
use super::{END_SECS, PLAY_SECS, Pattern, Policy, Summary, WARM_UP_SECS, bound};
use event::{Event, Timed};

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
    callers: Vec<Caller>,
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
struct Caller {
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

/// One router's state.
struct Router {
    decides: Decides,
    wake: Time,
}

/// What a router decides with.
enum Decides {
    Ours(Box<Ours>),
    Baseline(Box<Baseline>),
}

/// Our scheduler and the play's names for its keys.
struct Ours {
    scheduler: Scheduler,
    targets: Vec<TargetKey>,
    places: SecondaryMap<TargetKey, usize>,
    accounts: Vec<AccountKey>,
    wants: Wants,
    requests: HashMap<Ticket, usize>,
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
            callers: vec![Caller::default(); requests.len()],
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
                        .load_report(now, ours.targets[target], report);
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
                        .cache_hint(now, ours.targets[target], prefix, held);
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
            Decision::Refuse { reason, come_back } => {
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
        self.callers.push(Caller::default());
        self.tally.returned += 1;
        let request = self.requests.len() - 1;
        self.at(at, Event::Arrive { request });
    }

    fn send(&mut self, now: Time, request: usize, target: usize) {
        let run = self.runs.len();
        self.runs.push(Run {
            request,
            target,
            first_token: None,
            over: false,
        });
        self.callers[request].runs.push(run);
        self.at(now.plus_secs(HOP_S), Event::Reach { run });
    }

    fn reach(&mut self, now: Time, id: RunId) {
        let run = self.runs[id];
        if run.over {
            return;
        }
        let request = self.requests[run.request];
        let (router, priority) = (request.router, request.priority);
        self.engines[run.target].push(EngineRun {
            id,
            router,
            priority,
        });
        self.fill(now, run.target);
    }

    /// Begins runs while a target has free slots.
    fn fill(&mut self, now: Time, target: usize) {
        while let Some(next) = self.engines[target].next() {
            let run = self.runs[next.id];
            let request = self.requests[run.request];
            if let Some(prefix) = request.prefix.filter(|_| counts(request.at)) {
                self.tally.held[0] += f64::from(self.engines[target].holds(prefix) as u8);
                self.tally.held[1] += 1.0;
            }
            let begun = self.engines[target].begin(now, &request);
            self.at(begun.first_token, Event::FirstToken { run: next.id });
            self.at(begun.end, Event::End { run: next.id });
        }
    }

    fn first_token(&mut self, now: Time, id: RunId) {
        let run = self.runs[id];
        if run.over {
            return;
        }
        self.runs[id].first_token = Some(now);
        let request = self.requests[run.request];
        if let Some(prefix) = request.prefix {
            self.cached(now, run.target, prefix);
        }
        if !self.callers[run.request].answering {
            self.callers[run.request].answering = true;
            self.tally
                .first_token(&request, now.secs_since(request.at) + HOP_S);
            self.stop_others(now, run.request, id);
        }
        self.at(now.plus_secs(PROGRESS_EVERY_S), Event::Progress { run: id });
        self.tell_of(now, run, |ours, ticket, key| {
            ours.scheduler.first_token(now, ticket, key);
        });
    }

    fn progress(&mut self, now: Time, id: RunId) {
        let run = self.runs[id];
        let Some(first) = run.first_token.filter(|_| !run.over) else {
            return;
        };
        let tokens = self.engines[run.target].tokens_between(first, now) as u32 + 1;
        let before = now.plus_secs(-PROGRESS_EVERY_S);
        let news = self.engines[run.target].tokens_between(before, now) >= 1.0;
        self.at(now.plus_secs(PROGRESS_EVERY_S), Event::Progress { run: id });
        if news {
            self.tell_of(now, run, |ours, ticket, key| {
                ours.scheduler.progress(now, ticket, key, tokens);
            });
        }
    }

    fn end(&mut self, now: Time, id: RunId) {
        let run = self.runs[id];
        if run.over {
            return;
        }
        self.stop(now, id, false);
        let request = self.requests[run.request];
        self.callers[run.request].over = true;
        if counts(request.at) {
            self.tally.answered(&request);
        }
        if counts(now) {
            self.tally.done(&request);
        }
        if request.attempt > 0 {
            self.tally.returned_well += 1;
        }
        let outcome = Outcome {
            output_tokens: request.output,
        };
        self.tell_of(now, run, |ours, ticket, key| {
            ours.scheduler.finished(now, ticket, key, outcome);
            ours.requests.remove(&ticket);
        });
    }

    /// Has a caller leave at its deadline, with all that runs for it.
    fn deadline(&mut self, now: Time, place: usize) {
        if self.callers[place].over {
            return;
        }
        self.callers[place].over = true;
        if counts(self.requests[place].at) {
            self.tally.cut += 1;
        }
        for id in self.callers[place].runs.clone() {
            self.stop(now, id, true);
        }
        let router = self.requests[place].router;
        if let Some(ticket) = self.callers[place].ticket {
            self.tell(now, router, |ours| {
                ours.scheduler.cancel(now, ticket);
                ours.requests.remove(&ticket);
            });
        }
    }

    /// Cancels a request's other copies once one answers.
    fn stop_others(&mut self, now: Time, place: usize, keep: RunId) {
        for id in self.callers[place].runs.clone() {
            let run = self.runs[id];
            if id == keep || run.over {
                continue;
            }
            self.stop(now, id, true);
            self.tell_of(now, run, |ours, ticket, key| {
                ours.scheduler.cancel_run(ticket, key);
            });
        }
    }

    /// Ends a run at its target; what it generated may be wasted.
    fn stop(&mut self, now: Time, id: RunId, wasted: bool) {
        let run = self.runs[id];
        if run.over {
            return;
        }
        self.runs[id].over = true;
        let counted = counts(self.requests[run.request].at);
        let engine = &mut self.engines[run.target];
        engine.remove(id);
        if let Some(first) = run.first_token.filter(|_| wasted && counted) {
            self.tally.wasted += engine.tokens_between(first, now) + 1.0;
        }
        let router = self.requests[run.request].router;
        if let Decides::Baseline(b) = &mut self.routers[router].decides {
            b.ended(run.target);
        }
        self.fill(now, run.target);
    }

    /// Publishes a target's load to each router, late or not at all.
    fn report(&mut self, now: Time, target: usize) {
        self.at(now.plus_secs(REPORT_EVERY_S), Event::Report { target });
        if counts(now) && self.engines[target].is_well(now) {
            self.tally.busy[0] += self.engines[target].running.len() as f64;
            self.tally.busy[1] += f64::from(SLOTS);
        }
        if self.policy != Policy::Ours {
            return;
        }
        let arrives = now.plus_secs(self.pattern.report_delay());
        for router in 0..ROUTERS {
            if self.rng.random_bool(self.pattern.report_loss()) {
                continue;
            }
            let report = self.engines[target].report(now, router);
            self.at(
                arrives,
                Event::Reported {
                    router,
                    target,
                    report,
                },
            );
        }
    }

    /// Publishes that a target holds a prefix, and has perhaps dropped another.
    fn cached(&mut self, now: Time, target: usize, prefix: u64) {
        let dropped = self.engines[target].cache(prefix);
        if self.policy != Policy::Ours {
            return;
        }
        let hints = dropped
            .map(|p| (p, false))
            .into_iter()
            .chain([(prefix, true)]);
        for (prefix, held) in hints {
            for router in 0..ROUTERS {
                if !self.rng.random_bool(HINT_LOSS) {
                    let event = Event::Hint {
                        router,
                        target,
                        prefix,
                        held,
                    };
                    self.at(now.plus_secs(HINT_DELAY_S), event);
                }
            }
        }
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
    at >= begin && at < begin.plus_secs(PLAY_SECS)
}

impl Engine {
    /// Returns the load that one router is told of.
    fn report(&self, now: Time, router: usize) -> LoadReport {
        let all = || self.running.iter().chain(&self.queue);
        LoadReport {
            taken_at: now,
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            interactive: all()
                .filter(|r| r.priority == Priority::Interactive)
                .count() as u32,
            of_receiver: all().filter(|r| r.router == router).count() as u32,
        }
    }
}

impl Router {
    fn new(policy: Policy, seed: u64, router: usize, cfg: &PolicyConfig) -> Self {
        let decides = match policy {
            Policy::Ours => Decides::Ours(Box::new(Ours::new(cfg, seed, router))),
            _ => Decides::Baseline(Box::new(Baseline::new(policy, seed))),
        };
        Self {
            decides,
            wake: Time::MAX,
        }
    }
}

impl Ours {
    fn new(cfg: &PolicyConfig, seed: u64, router: usize) -> Self {
        let scheduler = balancer::scheduler(cfg, seed, router);
        let target = |t| scheduler.target(&balancer::target_name(t));
        let targets: Vec<TargetKey> = (0..TARGETS).filter_map(target).collect();
        let account = |a| scheduler.account(&balancer::account_name(a));
        let accounts = (0..arrivals::ACCOUNTS).filter_map(account).collect();
        let places = targets
            .iter()
            .enumerate()
            .map(|(place, &key)| (key, place))
            .collect();
        let model = scheduler
            .name(MODEL)
            .unwrap_or_else(|| unreachable!("the targets hold it"));
        Self {
            wants: Wants::Model {
                model,
                version: None,
                adapter: None,
            },
            targets,
            places,
            accounts,
            requests: HashMap::new(),
            scheduler,
        }
    }

    fn facts(&self, request: &Request) -> RequestFacts {
        RequestFacts {
            account: self.accounts[request.account],
            priority: request.priority,
            wants: self.wants,
            prompt_tokens: request.prompt,
            max_tokens: request.max_output,
            begin_by: Time::MAX,
            deadline: request.deadline,
            idempotent: request.idempotent,
            prefix: request.prefix,
            prefix_tokens: request.prefix_tokens,
            attempt: request.attempt,
        }
    }
}
