//! Loads replayed against placement: shared prompts, a hot part, long among short, bad targets.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{HashMap, HashSet};
use wisteriapass_policy::Time;
use wisteriapass_policy::placement::{Candidate, FailureScore, Prompt, choose_target, hash_name};

const ROUTERS: usize = 5;
const TARGETS: usize = 12;
/// Prompt tokens that a target reads in a millisecond.
const READ_PER_MS: f64 = 125.0;
/// Time for which a request runs behind its first event, in milliseconds.
const RUN_MS: f64 = 250.0;

/// A request of the load.
#[derive(Clone, Copy)]
struct Arrival {
    at_ms: f64,
    part: u64,
    shared: u64,
    own: u64,
}

/// How requests are placed.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    /// By this crate.
    Ranked,
    /// Where this router has least running.
    LeastRunning,
}

/// What callers and targets got.
#[derive(Debug, Default)]
struct Outcome {
    /// Shared tokens that were read though some target had read them.
    read_again: u64,
    /// Waits for the first event of long and of short prompts, in milliseconds.
    long: Vec<f64>,
    short: Vec<f64>,
    /// Requests by target.
    by_target: Vec<usize>,
}

impl Outcome {
    fn late(waits: &[f64], aim_ms: f64) -> f64 {
        waits.iter().filter(|w| **w > aim_ms).count() as f64 / waits.len().max(1) as f64
    }
}

/// A run at a target as its router sees it.
struct Run {
    router: usize,
    target: usize,
    unread: u64,
    read_by: f64,
    ends: f64,
}

/// Plays a load; each target reads prompts one after the other and keeps all parts.
fn play(load: &[Arrival], way: Way) -> Outcome {
    let mut outcome = Outcome {
        by_target: vec![0; TARGETS],
        ..Outcome::default()
    };
    let mut free_at = [0.0_f64; TARGETS];
    let mut held: Vec<HashSet<u64>> = vec![HashSet::new(); TARGETS];
    let mut kept: HashMap<(usize, usize, u64), ()> = HashMap::new();
    let mut runs: Vec<Run> = Vec::new();
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for arrival in load {
        runs.retain(|r| r.ends > arrival.at_ms);
        let router = rng.random_range(0..ROUTERS);
        let seen: Vec<Candidate<usize>> = (0..TARGETS)
            .map(|t| {
                let mine = runs.iter().filter(|r| (r.router, r.target) == (router, t));
                let unread = mine.clone().filter(|r| r.read_by > arrival.at_ms);
                Candidate {
                    key: t,
                    hash: hash_name(&format!("t{t}")),
                    slots: 64,
                    running: mine.count() as u32,
                    pending_prompt_tokens: unread.map(|r| r.unread).sum(),
                    has_prefix: kept.contains_key(&(router, t, arrival.part)),
                    in_same_domain: t % 3 == router % 3,
                    recent_failures: 0.0,
                    silent: false,
                }
            })
            .collect();
        let prompt = Prompt {
            shared_prefix: Some(arrival.part),
            shared_tokens: arrival.shared,
            tokens: arrival.shared + arrival.own,
        };
        let t = match way {
            Way::Ranked => choose_target(&seen, prompt, ROUTERS, rng.random()).unwrap(),
            Way::LeastRunning => seen.iter().min_by_key(|c| c.running).unwrap().key,
        };
        let known = held.iter().any(|h| h.contains(&arrival.part));
        let here = !held[t].insert(arrival.part);
        if known && !here {
            outcome.read_again += arrival.shared;
        }
        let unread = arrival.own + if here { 0 } else { arrival.shared };
        let read_by = free_at[t].max(arrival.at_ms) + unread as f64 / READ_PER_MS;
        free_at[t] = read_by;
        let wait = read_by - arrival.at_ms;
        let is_long = arrival.own > 4_000;
        if is_long {
            &mut outcome.long
        } else {
            &mut outcome.short
        }
        .push(wait);
        outcome.by_target[t] += 1;
        kept.insert((router, t, arrival.part), ());
        runs.push(Run {
            router,
            target: t,
            unread,
            read_by,
            ends: read_by + RUN_MS,
        });
    }
    outcome
}

/// Long templates and short questions in turn; `hot` is the share about one template.
fn load(per_s: f64, hot: f64, seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at_ms = 0.0;
    (0..3_000)
        .map(|_| {
            at_ms += -rng.random::<f64>().max(1e-9).ln() * 1_000.0 / per_s;
            let is_long = rng.random_bool(0.25);
            let part = if rng.random_bool(hot) {
                0
            } else {
                rng.random_range(0..160)
            };
            Arrival {
                at_ms,
                part: part + if is_long { 0 } else { 1_000 },
                shared: if is_long { 5_400 } else { 400 },
                own: if is_long { 6_600 } else { 900 },
            }
        })
        .collect()
}

#[test]
fn shared_parts_are_read_at_few_targets_and_nobody_waits_longer() {
    let load = load(110.0, 0.0, 1);
    let (ranked, least) = (play(&load, Way::Ranked), play(&load, Way::LeastRunning));
    assert!(ranked.read_again * 3 < least.read_again, "{ranked:?}");
    assert!(Outcome::late(&ranked.short, 100.0) < Outcome::late(&least.short, 100.0));
    assert!(Outcome::late(&ranked.long, 200.0) < Outcome::late(&least.long, 200.0));
}

#[test]
fn a_hot_part_does_not_heap_up_at_its_home() {
    let load = load(110.0, 0.4, 2);
    let ranked = play(&load, Way::Ranked);
    let most = ranked.by_target.iter().max().unwrap();
    assert!(*most < 3 * load.len() / TARGETS, "{:?}", ranked.by_target);
    assert!(
        Outcome::late(&ranked.long, 400.0) < 0.05,
        "{:?}",
        ranked.by_target
    );
}

#[test]
fn at_a_burst_waits_stay_even() {
    let load = load(420.0, 0.0, 3);
    let (ranked, least) = (play(&load, Way::Ranked), play(&load, Way::LeastRunning));
    let late = |o: &Outcome| Outcome::late(&o.long, 600.0);
    assert!(
        2.0 * late(&ranked) < late(&least),
        "{} {}",
        late(&ranked),
        late(&least)
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
    }
}

#[test]
fn a_short_prompt_goes_around_a_long_one() {
    let mut busy = idle(0);
    busy.pending_prompt_tokens = 12_000;
    busy.running = 1;
    let prompt = Prompt {
        shared_prefix: None,
        shared_tokens: 0,
        tokens: 300,
    };
    for draw in 0..50 {
        assert_eq!(choose_target(&[busy, idle(1)], prompt, 5, draw), Some(1));
    }
}

#[test]
fn a_full_target_is_the_last_choice_and_still_one() {
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
fn a_failing_target_is_left_at_once_and_comes_back_in_steps() {
    let mut trouble = FailureScore::default();
    let at = |s| Time::from_secs(s);
    trouble.record_failure(at(0), 1.0);
    trouble.record_failure(at(0), 1.0);
    let mut bad = idle(0);
    let place = |bad| choose_target(&[bad, idle(1)], Prompt::default(), 1, 1);
    bad.recent_failures = trouble.value(at(0));
    bad.in_same_domain = true;
    assert_eq!(place(bad), Some(1));
    bad.recent_failures = trouble.value(at(60));
    assert_eq!(place(bad), Some(0), "long ago");
    for _ in 0..100 {
        trouble.record_failure(at(60), 1.0);
    }
    assert!(
        trouble.value(at(60 + 15)) < 0.1,
        "failures add up to a bound"
    );
}

#[test]
fn if_all_fail_the_best_of_them_is_asked() {
    let (mut a, mut b) = (idle(0), idle(1));
    (a.recent_failures, b.recent_failures) = (8.0, 3.0);
    assert_eq!(choose_target(&[a, b], Prompt::default(), 1, 1), Some(1));
}

// A domain that went dark took requests for as long as each router had little under way there.
#[test]
fn a_target_that_fell_silent_gets_nothing_while_another_speaks() {
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
