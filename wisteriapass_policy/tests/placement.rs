//! Placement under simulated loads: shared prompts, a hot prefix, long among short prompts, bad
//! targets.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{HashMap, HashSet};
use wisteriapass_policy::Time;
use wisteriapass_policy::placement::{Candidate, FailureScore, Prompt, choose_target, hash_name};

const ROUTERS: usize = 5;
const TARGETS: usize = 12;
/// Prompt tokens that a target reads per millisecond.
const READ_TOKENS_PER_MS: f64 = 125.0;
/// Duration of a request after its first event, in milliseconds.
const RUN_MS: f64 = 250.0;

/// A request of the load.
#[derive(Clone, Copy)]
struct Arrival {
    at_ms: f64,
    prefix: u64,
    shared_tokens: u64,
    own_tokens: u64,
}

/// How targets are chosen.
#[derive(Clone, Copy, PartialEq)]
enum Policy {
    /// By the cost in this crate.
    LowestCost,
    /// The target with the fewest running requests of this router.
    LeastRunning,
}

/// Result of a simulation.
#[derive(Debug, Default)]
struct Outcome {
    /// Shared tokens read again although some target had already read them.
    reread_tokens: u64,
    /// Time to the first event of long and of short prompts, in milliseconds.
    long: Vec<f64>,
    short: Vec<f64>,
    /// Requests per target.
    requests_by_target: Vec<usize>,
}

impl Outcome {
    fn late_share(waits: &[f64], limit_ms: f64) -> f64 {
        waits.iter().filter(|w| **w > limit_ms).count() as f64 / waits.len().max(1) as f64
    }
}

/// A run at a target as seen by its router.
struct Run {
    router: usize,
    target: usize,
    pending_tokens: u64,
    read_at: f64,
    ends_at: f64,
}

/// Simulates a load; each target reads prompts one after the other and caches all prefixes.
fn simulate(load: &[Arrival], policy: Policy) -> Outcome {
    let mut outcome = Outcome {
        requests_by_target: vec![0; TARGETS],
        ..Outcome::default()
    };
    let mut free_at = [0.0_f64; TARGETS];
    let mut cached: Vec<HashSet<u64>> = vec![HashSet::new(); TARGETS];
    let mut sent_before: HashMap<(usize, usize, u64), ()> = HashMap::new();
    let mut runs: Vec<Run> = Vec::new();
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for arrival in load {
        runs.retain(|r| r.ends_at > arrival.at_ms);
        let router = rng.random_range(0..ROUTERS);
        let candidates: Vec<Candidate<usize>> = (0..TARGETS)
            .map(|t| {
                let mine = runs.iter().filter(|r| (r.router, r.target) == (router, t));
                let pending_tokens = mine.clone().filter(|r| r.read_at > arrival.at_ms);
                Candidate {
                    key: t,
                    hash: hash_name(&format!("t{t}")),
                    slots: 64,
                    running: mine.count() as u32,
                    pending_prompt_tokens: pending_tokens.map(|r| r.pending_tokens).sum(),
                    has_prefix: sent_before.contains_key(&(router, t, arrival.prefix)),
                    in_same_domain: t % 3 == router % 3,
                    recent_failures: 0.0,
                    silent: false,
                    slowness: 1.0,
                    lasting_slowness: 1.0,
                }
            })
            .collect();
        let prompt = Prompt {
            shared_prefix: Some(arrival.prefix),
            shared_tokens: arrival.shared_tokens,
            tokens: arrival.shared_tokens + arrival.own_tokens,
            goal: None,
        };
        let t = match policy {
            Policy::LowestCost => {
                choose_target(&candidates, prompt, ROUTERS, rng.random()).unwrap()
            }
            Policy::LeastRunning => candidates.iter().min_by_key(|c| c.running).unwrap().key,
        };
        let cached_somewhere = cached.iter().any(|h| h.contains(&arrival.prefix));
        let cached_here = !cached[t].insert(arrival.prefix);
        if cached_somewhere && !cached_here {
            outcome.reread_tokens += arrival.shared_tokens;
        }
        let pending_tokens = arrival.own_tokens
            + if cached_here {
                0
            } else {
                arrival.shared_tokens
            };
        let read_at = free_at[t].max(arrival.at_ms) + pending_tokens as f64 / READ_TOKENS_PER_MS;
        free_at[t] = read_at;
        let wait = read_at - arrival.at_ms;
        let is_long = arrival.own_tokens > 4_000;
        if is_long {
            &mut outcome.long
        } else {
            &mut outcome.short
        }
        .push(wait);
        outcome.requests_by_target[t] += 1;
        sent_before.insert((router, t, arrival.prefix), ());
        runs.push(Run {
            router,
            target: t,
            pending_tokens,
            read_at,
            ends_at: read_at + RUN_MS,
        });
    }
    outcome
}

/// Mixes long templates and short questions; `hot` is the share of requests with one prefix.
fn load(per_s: f64, hot: f64, seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at_ms = 0.0;
    (0..3_000)
        .map(|_| {
            at_ms += -rng.random::<f64>().max(1e-9).ln() * 1_000.0 / per_s;
            let is_long = rng.random_bool(0.25);
            let prefix = if rng.random_bool(hot) {
                0
            } else {
                rng.random_range(0..160)
            };
            Arrival {
                at_ms,
                prefix: prefix + if is_long { 0 } else { 1_000 },
                shared_tokens: if is_long { 5_400 } else { 400 },
                own_tokens: if is_long { 6_600 } else { 900 },
            }
        })
        .collect()
}

#[test]
fn shared_prefixes_are_read_at_few_targets_without_longer_waits() {
    let load = load(110.0, 0.0, 1);
    let (lowest_cost, least_running) = (
        simulate(&load, Policy::LowestCost),
        simulate(&load, Policy::LeastRunning),
    );
    assert!(
        lowest_cost.reread_tokens * 3 < least_running.reread_tokens,
        "{lowest_cost:?}"
    );
    assert!(
        Outcome::late_share(&lowest_cost.short, 100.0)
            < Outcome::late_share(&least_running.short, 100.0)
    );
    assert!(
        Outcome::late_share(&lowest_cost.long, 200.0)
            < Outcome::late_share(&least_running.long, 200.0)
    );
}

#[test]
fn hot_prefix_does_not_overload_its_home() {
    let load = load(110.0, 0.4, 2);
    let lowest_cost = simulate(&load, Policy::LowestCost);
    let most = lowest_cost.requests_by_target.iter().max().unwrap();
    assert!(
        *most < 3 * load.len() / TARGETS,
        "{:?}",
        lowest_cost.requests_by_target
    );
    assert!(
        Outcome::late_share(&lowest_cost.long, 400.0) < 0.05,
        "{:?}",
        lowest_cost.requests_by_target
    );
}

#[test]
fn waits_stay_even_in_a_burst() {
    let load = load(420.0, 0.0, 3);
    let (lowest_cost, least_running) = (
        simulate(&load, Policy::LowestCost),
        simulate(&load, Policy::LeastRunning),
    );
    let late_share = |o: &Outcome| Outcome::late_share(&o.long, 600.0);
    assert!(
        2.0 * late_share(&lowest_cost) < late_share(&least_running),
        "{} {}",
        late_share(&lowest_cost),
        late_share(&least_running)
    );
}

fn idle(key: usize) -> Candidate<usize> {
    Candidate {
        key,
        hash: hash_name(&format!("t{key}")),
        slots: 6,
        running: 0,
        pending_prompt_tokens: 0,
        has_prefix: false,
        in_same_domain: false,
        recent_failures: 0.0,
        silent: false,
        slowness: 1.0,
        lasting_slowness: 1.0,
    }
}

#[test]
fn short_prompt_avoids_a_target_reading_a_long_one() {
    let mut busy = idle(0);
    busy.pending_prompt_tokens = 12_000;
    busy.running = 1;
    let prompt = Prompt {
        shared_prefix: None,
        shared_tokens: 0,
        tokens: 300,
        goal: None,
    };
    for draw in 0..50 {
        assert_eq!(choose_target(&[busy, idle(1)], prompt, 5, draw), Some(1));
    }
}

#[test]
fn full_target_is_used_only_as_a_last_resort() {
    let mut full = idle(0);
    full.running = 6;
    assert_eq!(
        choose_target(&[full, idle(1)], Prompt::default(), 1, 3),
        Some(1)
    );
    assert_eq!(choose_target(&[full], Prompt::default(), 1, 3), Some(0));
    assert_eq!(choose_target::<usize>(&[], Prompt::default(), 1, 3), None);
}

#[test]
fn failing_target_is_avoided_at_once_and_recovers_gradually() {
    let mut failures = FailureScore::default();
    let at = |s| Time::from_secs(s);
    failures.record_failure(at(0), 1.0);
    failures.record_failure(at(0), 1.0);
    let mut bad = idle(0);
    let choose = |bad| choose_target(&[bad, idle(1)], Prompt::default(), 1, 1);
    bad.recent_failures = failures.value(at(0));
    bad.in_same_domain = true;
    assert_eq!(choose(bad), Some(1));
    bad.recent_failures = failures.value(at(60));
    assert_eq!(choose(bad), Some(0), "the failures have decayed");
    for _ in 0..100 {
        failures.record_failure(at(60), 1.0);
    }
    assert!(
        failures.value(at(60 + 15)) < 0.1,
        "the failure score is bounded"
    );
}

#[test]
fn target_with_fewest_failures_is_used_if_all_fail() {
    let (mut a, mut b) = (idle(0), idle(1));
    (a.recent_failures, b.recent_failures) = (8.0, 3.0);
    assert_eq!(choose_target(&[a, b], Prompt::default(), 1, 1), Some(1));
}

// Guards against requests going to a failed domain as long as each router has few in flight there.
#[test]
fn silent_target_gets_nothing_while_another_responds() {
    let candidates: Vec<Candidate<usize>> = (0..4)
        .map(|key| Candidate {
            silent: key < 3,
            running: if key < 3 { 1 } else { 5 },
            ..idle(key)
        })
        .collect();
    for draw in 0..20 {
        assert_eq!(
            choose_target(&candidates, Prompt::default(), 5, draw),
            Some(3)
        );
    }
    assert!(choose_target(&candidates[..3], Prompt::default(), 5, 1).is_some());
}
