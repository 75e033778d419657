//! What routers hold beyond what they prove to have spent: little is lost with them, and requests
//! are served nevertheless.

use crate::fleet::{Fleet, RELAYS, Request};

const TOTAL: u64 = 3_000_000;

/// Runs an account that uses its total up in 30 s, by requests of up to 1,500 tokens every 10 ms
/// at the relays that `place` selects, for some milliseconds.
fn run(fleet: &mut Fleet, for_ms: u64, place: impl Fn(&mut Fleet) -> usize) {
    let until = fleet.now + for_ms;
    while fleet.now < until {
        let used = 500 + fleet.random(1_001);
        let request = Request {
            max_cost: used * 3 / 2,
            used,
        };
        let n = place(fleet);
        fleet.arrive(n, request);
        fleet.tick();
    }
}

/// Kills a relay in touch; returns what is lost besides the requests in progress.
fn lost_with_one(seed: u64, place: impl Fn(&mut Fleet) -> usize) -> u64 {
    let mut fleet = Fleet::new(TOTAL, seed);
    let run_ms = 5_000 + fleet.random(1_000);
    run(&mut fleet, run_ms, &place);
    let (served, refused) = (fleet.served, fleet.refused);
    assert!(
        refused * 100 <= served,
        "{refused} refused, {served} served"
    );
    let reserved = fleet.kill(0);
    for _ in 0..50 {
        fleet.tick();
    }
    fleet.restart(0);
    for _ in 0..60 {
        fleet.tick();
    }
    let (lost, recorded) = fleet.recorded();
    let unproved = fleet.used - recorded;
    (lost - unproved).saturating_sub(reserved)
}

/// Guards against losing what a router could have spent for seconds when it is killed while the
/// store and its witnesses answer.
#[test]
fn a_router_killed_in_touch_loses_a_hundredth_of_the_total() {
    for seed in 1..=10 {
        let spread = lost_with_one(seed, |fleet| fleet.random(RELAYS as u64) as usize);
        assert!(
            spread * 200 <= TOTAL,
            "{spread} with one of {RELAYS}, seed {seed}"
        );
        let whole = lost_with_one(seed, |_| 0);
        assert!(
            whole * 99 <= TOTAL,
            "{whole} with the only one, seed {seed}"
        );
    }
}
