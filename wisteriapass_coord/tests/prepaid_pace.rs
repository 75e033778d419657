//! Many routers write one record over links of different speed: each one succeeds, with few calls.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wisteriapass_coord::prepaid::Pace;

/// Time in which the store answers a call, in milliseconds.
const STORE_MS: u64 = 4;

/// Simulated time, in milliseconds.
const DURATION_MS: u64 = 30_000;

/// Time without a write for which a sealed part stays sealed, in milliseconds.
const SEAL_MS: u64 = 2_200;

/// Next step of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    /// Its read arrives at the store.
    Read,
    /// Its write over a revision arrives at the store.
    Write(u64),
}

/// One router and its exchanges.
#[derive(Clone, Debug)]
struct Writer {
    /// Transfer time of a record over its link, in milliseconds.
    transfer_ms: u64,
    /// Start of the exchange in progress.
    began_ms: u64,
    written_ms: u64,
    longest_gap_ms: u64,
    writes: u64,
}

/// Outcome of a simulation.
struct Outcome {
    writers: Vec<Writer>,
    calls: u64,
}

/// Simulates routers that always need an exchange; every third of them has a slow link.
fn simulate(routers: usize, slow_ms: u64, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let writer = |n: usize| Writer {
        transfer_ms: if n.is_multiple_of(3) { slow_ms } else { 1 },
        began_ms: 0,
        written_ms: 0,
        longest_gap_ms: 0,
        writes: 0,
    };
    let mut writers: Vec<Writer> = (0..routers).map(writer).collect();
    // All begin within the same few milliseconds.
    let mut steps: BinaryHeap<_> = (0..routers)
        .map(|n| Reverse((rng.random_range(0..STORE_MS), n, Step::Read)))
        .collect();
    let (mut revision, mut calls) = (0, 0);
    while let Some(Reverse((now, n, step))) = steps.pop() {
        if now > DURATION_MS {
            break;
        }
        calls += 1;
        let w = &mut writers[n];
        let round_trip_ms = STORE_MS + w.transfer_ms;
        let next = match step {
            Step::Read => {
                w.began_ms = now;
                let arrival_ms = now + round_trip_ms;
                (arrival_ms + w.transfer_ms, Step::Write(revision))
            }
            Step::Write(over) if over == revision => {
                revision += 1;
                w.writes += 1;
                w.longest_gap_ms = w.longest_gap_ms.max(now - w.written_ms);
                w.written_ms = now;
                let pace = Pace::new(routers, round_trip_ms);
                (now + STORE_MS + pace.urgent_interval_ms(), Step::Read)
            }
            Step::Write(_) => {
                let pace = Pace::new(routers, round_trip_ms);
                let backoff_ms = pace.conflict_backoff_ms(rng.random());
                let arrival_ms = now + round_trip_ms + backoff_ms;
                (arrival_ms + w.transfer_ms, Step::Write(revision))
            }
        };
        steps.push(Reverse((next.0, n, next.1)));
    }
    Outcome { writers, calls }
}

fn longest_gap_ms(outcome: &Outcome) -> u64 {
    let at_end = |w: &Writer| {
        w.longest_gap_ms
            .max(DURATION_MS.saturating_sub(w.written_ms))
    };
    outcome.writers.iter().map(at_end).max().unwrap_or(0)
}

#[test]
fn routers_behind_slow_links_write_before_seals_open() {
    for seed in 1..=10 {
        for slow_ms in [1, 8, 16] {
            let outcome = simulate(27, slow_ms, seed);
            let gap = longest_gap_ms(&outcome);
            assert!(
                gap < SEAL_MS,
                "seed {seed}, slow {slow_ms} ms: gap of {gap} ms"
            );
        }
    }
}

#[test]
fn calls_grow_more_slowly_than_the_number_of_routers() {
    let per_second = |routers| simulate(routers, 8, 1).calls as f64 * 1_000.0 / DURATION_MS as f64;
    let (few, many) = (per_second(5), per_second(30));
    assert!(
        many < 3.0 * few,
        "{few} calls a second of 5 routers, {many} of 30"
    );
}

#[test]
fn a_single_router_does_not_wait_for_others() {
    let lone = Pace::new(1, 4);
    assert_eq!(
        lone.urgent_interval_ms(),
        Pace::new(0, 4).urgent_interval_ms()
    );
    assert!(lone.urgent_interval_ms() < Pace::new(5, 4).urgent_interval_ms());
}

#[test]
fn routers_take_turns_at_a_slow_service() {
    let slow = Pace::new(20, 1_000);
    assert!(slow.urgent_interval_ms() >= 20 * 1_000 / 2);
    assert!(slow.idle_interval_ms() >= slow.urgent_interval_ms());
}

/// Guards against a store that is written for each request that cost less than it reserved.
#[test]
fn exchanges_that_only_reduce_losses_are_less_frequent() {
    let lone = Pace::new(1, 4);
    assert!(lone.loss_interval_ms() >= 100);
    assert!(lone.loss_interval_ms() > lone.urgent_interval_ms());
    let many = Pace::new(6, 4);
    assert_eq!(many.loss_interval_ms(), many.urgent_interval_ms());
}
