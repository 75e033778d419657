//! What routers hold beyond what they prove to have spent: little is lost with them, and requests
//! are served nevertheless.

use wisteriapass_coord::prepaid::ShareRecord;

use crate::fleet::{Fleet, RELAYS, ROUTER_CONFIG, Request};
use crate::support::{ACCOUNT, at, exchange, holder_with, reserve_with_exchange};

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
    fleet.pass(500);
    fleet.restart(0);
    fleet.pass(600);
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

/// Guards against a share that stays open after a request that cost a tenth of what it reserved,
/// and against exchanges that reduce nothing.
#[test]
fn an_exchange_is_due_once_more_than_the_bound_could_be_lost() {
    for seed in 1..=5 {
        let mut fleet = Fleet::new(TOTAL, seed);
        run(&mut fleet, 5_000, |_| 0);
        let writes = fleet.writes;
        run(&mut fleet, 5_000, |_| 0);
        let in_use = fleet.writes - writes;
        assert!(in_use <= 20, "{in_use} writes in 5 s, seed {seed}");

        // Without witnesses, the record alone tells what can have been spent.
        let mut fleet = Fleet::new(TOTAL, seed);
        (1..RELAYS).for_each(|n| _ = fleet.kill(n));
        fleet.pass(2_000 + seed * 70);
        let request = Request {
            max_cost: TOTAL / 25,
            used: TOTAL / 1_000,
        };
        fleet.arrive(0, request);
        while fleet.used == 0 {
            fleet.tick();
        }
        let before = fleet.largest_unproved();
        assert!(before * 100 > 3 * TOTAL, "{before}, seed {seed}");
        fleet.pass(200);
        let after = fleet.largest_unproved();
        assert!(2 * after <= before, "{after} of {before}, seed {seed}");
        let writes = fleet.writes;
        fleet.pass(5_000);
        let idle = fleet.writes - writes;
        assert!(
            idle <= 10,
            "{idle} writes in 5 s without requests, seed {seed}"
        );
    }
}

/// Lets rare requests of 3% of the total arrive at random relays; returns how many are served before
/// the first one that is refused.
fn large_requests_served(fleet: &mut Fleet, count: u64, interval_ms: u64) -> u64 {
    let request = Request {
        max_cost: TOTAL * 3 / 100,
        used: TOTAL * 3 / 100,
    };
    let before = fleet.served;
    for _ in 0..count {
        let n = fleet.random(RELAYS as u64) as usize;
        fleet.arrive(n, request);
        fleet.pass(interval_ms);
        if fleet.refused > 0 {
            break;
        }
    }
    fleet.served - before
}

/// Guards against refusals of a small account whose rare requests are larger than what any relay
/// holds for the demand.
#[test]
fn rare_large_requests_are_served_in_touch_until_the_total_is_used() {
    for (seed, interval_ms) in (1..=5).flat_map(|seed| [300, 1_000, 2_500].map(|ms| (seed, ms))) {
        let mut fleet = Fleet::new(TOTAL, seed);
        fleet.pass(2_000);
        let served = large_requests_served(&mut fleet, 33, interval_ms);
        // The rest is spread over the relays when the last requests come.
        assert!(
            served >= 30,
            "{served} of 33, seed {seed}, each {interval_ms} ms"
        );
    }
}

/// The same in a cut of all relays from the store, where one large request may need what several
/// relays hold.
#[test]
fn rare_large_requests_are_served_by_loans_in_a_cut() {
    for seed in 1..=5 {
        let mut fleet = Fleet::new(TOTAL, seed);
        fleet.pass(2_000);
        assert_eq!(large_requests_served(&mut fleet, 5, 1_000), 5);
        fleet.is_store_up = false;
        let before = fleet.served;
        for _ in 0..8 {
            large_requests_served(&mut fleet, 1, 1_000);
        }
        let served = fleet.served - before;
        assert!(served >= 7, "{served} of 8, seed {seed}");
    }
}

/// Guards against the loss of what a stopping router holds, if it is killed before its last request
/// ended.
#[test]
fn a_stopping_router_returns_all_but_what_its_requests_need() {
    let mut record = ShareRecord::default();
    let mut h = holder_with(ROUTER_CONFIG, "a", 1, TOTAL, at(0));
    assert_eq!(reserve_with_exchange(&mut h, 0, 9_000, &mut record), Ok(()));
    exchange(&mut h, 10, &mut record);
    assert!(record.share(ACCOUNT, h.id()).granted > 9_000);
    h.set_stopping();
    exchange(&mut h, 20, &mut record);
    assert_eq!(record.share(ACCOUNT, h.id()).granted, 9_000);
    h.settle(ACCOUNT, 9_000, 2_000);
    exchange(&mut h, 30, &mut record);
    let share = record.share(ACCOUNT, h.id());
    assert_eq!((share.granted, share.used), (2_000, 2_000));
}

/// Guards against refusals while a relay waits for the receipts of witnesses that are dead.
#[test]
fn requests_are_served_while_witnesses_die() {
    for (seed, is_store_up) in (1..=5).flat_map(|seed| [true, false].map(|up| (seed, up))) {
        let mut fleet = Fleet::new(2 * TOTAL, seed);
        run(&mut fleet, 5_000, |_| 0);
        fleet.is_store_up = is_store_up;
        run(&mut fleet, 300, |_| 0);
        let refused = fleet.refused;
        for n in 1..=2 {
            fleet.kill(n);
            run(&mut fleet, 700, |_| 0);
            fleet.restart(n);
            run(&mut fleet, 2_000, |_| 0);
        }
        let refused = fleet.refused - refused;
        assert!(
            refused <= 5,
            "{refused} of 540, seed {seed}, store {is_store_up}"
        );
    }
}
