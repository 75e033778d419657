//! Replay of a load on simulated targets, each of which reads prompts one after the other and
//! streams events.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wisteriapass_policy::Time;
use wisteriapass_policy::placement::{Candidate, Prompt, choose_target, hash_name};
use wisteriapass_policy::target_speed::{
    FirstEvent, OutputPause, ServiceModel, SpeedReport, TargetSpeed,
};

/// Prompt tokens that a target reads per millisecond.
const READ_TOKENS_PER_MS: f64 = 125.0;
/// Time of a request before its prompt is read, in milliseconds.
const BASE_MS: f64 = 15.0;
/// Pause between two events of an idle target, in milliseconds, and the slots that double it.
const PAUSE_MS: f64 = 50.0;
const SLOTS: u32 = 64;
const EVENT_TOKENS: u64 = 8;
const EVENTS: u32 = 10;
/// Interval between two exchanges of routers, in milliseconds.
const EXCHANGE_MS: f64 = 300.0;
/// Prompts from which a request is a long one, with a longer goal.
const LONG_TOKENS: u64 = 20_000;
const LONG_GOAL_MS: f64 = 800.0;
const SHORT_GOAL_MS: f64 = 100.0;

/// A load and the speeds of the targets under it.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub routers: usize,
    pub targets: usize,
    pub requests: usize,
    pub per_s: f64,
    /// Share of long prompts.
    pub long_share: f64,
    /// How many times slower a target is at a time in milliseconds.
    pub slow: fn(usize, f64) -> f64,
    /// Whether placement goes by slowness.
    pub uses_speeds: bool,
    /// Whether routers share what they observe.
    pub shares: bool,
}

impl Scenario {
    /// Replays it under several loads.
    pub fn run(self) -> Outcome {
        let mut all = Outcome::default();
        for seed in 1..=3 {
            let one = Replay::run(self, seed);
            all.served.extend(one.served);
            all.lasting = one.lasting;
        }
        all
    }

    /// Replays it without and with slowness in placement.
    pub fn compare(self) -> (Outcome, Outcome) {
        let without = Self {
            uses_speeds: false,
            ..self
        };
        (without.run(), self.run())
    }

    fn arrivals(&self, seed: u64) -> Vec<(f64, usize, u64)> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut at_ms = 0.0;
        let arrivals = (0..self.requests).map(|_| {
            at_ms += -rng.random::<f64>().max(1e-9).ln() * 1_000.0 / self.per_s;
            let tokens = if rng.random_bool(self.long_share) {
                rng.random_range(LONG_TOKENS..=54_600)
            } else {
                rng.random_range(300..2_500)
            };
            (at_ms, rng.random_range(0..self.routers), tokens)
        });
        arrivals.collect()
    }
}

/// Result of a replay.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Prompt tokens and time to the first event of each request.
    served: Vec<(u64, f64)>,
    /// Lasting factors at the end, by router and target.
    pub lasting: Vec<Vec<f64>>,
}

impl Outcome {
    /// Returns the share of late requests.
    pub fn late_share(&self) -> f64 {
        late_share(&self.served)
    }

    /// Returns the share of late requests among those with long prompts.
    pub fn late_share_of_long(&self) -> f64 {
        let mut long = self.served.clone();
        long.retain(|(tokens, _)| *tokens >= LONG_TOKENS);
        late_share(&long)
    }

    /// Returns the share of routers and targets with a lasting factor, among some targets.
    pub fn share_with(&self, factor: impl Fn(f64) -> bool, of: impl Fn(usize) -> bool) -> f64 {
        let factors = self.lasting.iter().flat_map(|all| all.iter().enumerate());
        let factors: Vec<f64> = factors.filter(|(t, _)| of(*t)).map(|(_, f)| *f).collect();
        factors.iter().filter(|f| factor(**f)).count() as f64 / factors.len() as f64
    }
}

fn late_share(served: &[(u64, f64)]) -> f64 {
    let late = served.iter().filter(|(tokens, ms)| *ms > goal_ms(*tokens));
    late.count() as f64 / served.len().max(1) as f64
}

fn goal_ms(tokens: u64) -> f64 {
    if tokens >= LONG_TOKENS {
        LONG_GOAL_MS
    } else {
        SHORT_GOAL_MS
    }
}

/// What a router knows of one target.
#[derive(Clone, Default)]
struct View {
    running: u32,
    pending: u64,
    speed: TargetSpeed,
}

#[derive(Clone, Default)]
struct Router {
    model: ServiceModel,
    views: Vec<View>,
}

/// A request that a target runs.
#[derive(Clone, Copy)]
struct Run {
    router: usize,
    target: usize,
    tokens: u64,
    /// Load when it was sent.
    tokens_ahead: u64,
    running: u32,
    sent_at: f64,
    last_event_at: f64,
    events: u32,
}

/// A simulation of routers and targets.
struct Replay {
    scenario: Scenario,
    routers: Vec<Router>,
    /// When each target has read all prompts sent so far.
    free_at: Vec<f64>,
    running: Vec<u32>,
    rng: ChaCha8Rng,
    /// Events to come, by time in microseconds and index of the run.
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    runs: Vec<Run>,
    outcome: Outcome,
}

impl Replay {
    fn run(scenario: Scenario, seed: u64) -> Outcome {
        let router = Router {
            model: ServiceModel::default(),
            views: vec![View::default(); scenario.targets],
        };
        let mut replay = Self {
            scenario,
            routers: vec![router; scenario.routers],
            free_at: vec![0.0; scenario.targets],
            running: vec![0; scenario.targets],
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            runs: Vec::new(),
            outcome: Outcome::default(),
        };
        let (mut exchange_at, mut end) = (0.0, Time::default());
        for (at, router, tokens) in scenario.arrivals(seed) {
            while let Some(Reverse((due, run))) = replay.queue.peek().copied() {
                if due as f64 > at * 1_000.0 {
                    break;
                }
                replay.queue.pop();
                replay.advance(run, due as f64 / 1_000.0);
            }
            if scenario.shares && at >= exchange_at {
                replay.exchange(at);
                exchange_at = at + EXCHANGE_MS;
            }
            replay.send(at, router, tokens);
            end = time(at);
        }
        let factors = |r: &Router| {
            r.views
                .iter()
                .map(|v| v.speed.lasting(&r.model, end))
                .collect()
        };
        replay.outcome.lasting = replay.routers.iter().map(factors).collect();
        replay.outcome
    }

    /// Places a request and computes when its first event comes.
    fn send(&mut self, at: f64, router: usize, tokens: u64) {
        let now = time(at);
        let Router { model, views } = &mut self.routers[router];
        model.update_median(now, views.iter().map(|v| &v.speed));
        let candidates: Vec<Candidate<usize>> = (0..self.scenario.targets)
            .map(|t| {
                let (slowness, lasting_slowness) = if self.scenario.uses_speeds {
                    let speed = &views[t].speed;
                    (speed.slowness(model, now), speed.lasting(model, now))
                } else {
                    (1.0, 1.0)
                };
                Candidate {
                    key: t,
                    hash: hash_name(&format!("t{t}")),
                    slots: SLOTS,
                    running: views[t].running,
                    pending_prompt_tokens: views[t].pending,
                    has_prefix: false,
                    in_same_domain: t % 3 == router % 3,
                    recent_failures: 0.0,
                    silent: false,
                    slowness,
                    lasting_slowness,
                }
            })
            .collect();
        let prompt = Prompt {
            tokens,
            goal: model.latency_goal(goal_ms(tokens)),
            ..Prompt::default()
        };
        let draw = self.rng.random();
        let t = choose_target(&candidates, prompt, self.scenario.routers, draw).unwrap();
        let view = &mut views[t];
        let run = Run {
            router,
            target: t,
            tokens,
            tokens_ahead: view.pending + tokens,
            running: view.running,
            sent_at: at,
            last_event_at: at,
            events: 0,
        };
        view.running += 1;
        view.pending += tokens;
        self.running[t] += 1;
        let begins_at = self.free_at[t].max(at);
        self.free_at[t] = self.read_until(t, begins_at, tokens);
        let base_ms = BASE_MS * (self.scenario.slow)(t, at) * self.rng.random_range(0.8..1.2);
        self.push(run, self.free_at[t] + base_ms);
    }

    /// Returns when a target has read a prompt.
    fn read_until(&self, target: usize, mut at: f64, tokens: u64) -> f64 {
        let mut left = tokens as f64 / READ_TOKENS_PER_MS;
        while left > 1.0 {
            at += 1.0;
            left -= 1.0 / (self.scenario.slow)(target, at);
        }
        at + left * (self.scenario.slow)(target, at)
    }

    fn push(&mut self, run: Run, due: f64) {
        self.runs.push(run);
        let due = (due * 1_000.0) as u64;
        self.queue.push(Reverse((due, self.runs.len() - 1)));
    }

    /// Delivers the next event of a run.
    fn advance(&mut self, index: usize, at: f64) {
        let (mut run, now) = (self.runs[index], time(at));
        let Router { model, views } = &mut self.routers[run.router];
        let view = &mut views[run.target];
        if run.events == 0 {
            let ms = at - run.sent_at;
            view.pending -= run.tokens;
            let event = FirstEvent {
                tokens_ahead: run.tokens_ahead,
                running: run.running,
                ms,
            };
            view.speed.record_first_event(model, now, event);
            self.outcome.served.push((run.tokens, ms));
        } else {
            let pause = OutputPause {
                pending_tokens: view.pending,
                running: view.running,
                tokens: EVENT_TOKENS,
                ms: at - run.last_event_at,
            };
            view.speed.record_pause(model, now, pause);
        }
        run.events += 1;
        run.last_event_at = at;
        if run.events > EVENTS {
            view.running -= 1;
            self.running[run.target] -= 1;
            return;
        }
        let batch = 1.0 + f64::from(self.running[run.target]) / f64::from(SLOTS);
        let pause = PAUSE_MS * batch * (self.scenario.slow)(run.target, at);
        let due = at + pause * self.rng.random_range(0.8..1.2);
        self.push(run, due);
    }

    /// Gives each router what the others observed.
    fn exchange(&mut self, at: f64) {
        let now = time(at);
        for t in 0..self.scenario.targets {
            let reports: Vec<SpeedReport> = self
                .routers
                .iter()
                .map(|r| r.views[t].speed.report(&r.model, now))
                .collect();
            for (i, router) in self.routers.iter_mut().enumerate() {
                let others = reports
                    .iter()
                    .enumerate()
                    .filter(|(j, r)| *j != i && r.is_significant());
                let merged = SpeedReport::merge(others.map(|(_, report)| *report));
                router.views[t].speed.set_reported(now, merged);
            }
        }
    }
}

fn time(at_ms: f64) -> Time {
    Time((at_ms * 1_000.0) as u64)
}
