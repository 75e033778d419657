//! Replays of accounts that crowd the weak routers of a failure domain.

mod choice;
mod exits;
mod model;
mod reports;

use model::{Account, Domain, World};
use wisteriapass_policy::rotation::{ChangeReason, Crowding, Phase, RotationPlanner};

/// Load of an account that three weak routers could not carry, in Mbit/s.
const HEAVY: fn(u64) -> f64 = |_| 30.0;

/// Orders of preference with 1, 2, 3 and 5 weak routers before a strong one.
const ORDERS: [&[&str]; 4] = [
    &["w3", "s2", "w1", "w2", "w4", "w5", "s1"],
    &["w3", "w1", "s2", "w2", "w4", "w5", "s1"],
    &["w3", "w1", "w5", "s2", "w2", "w4", "s1"],
    &["w3", "w1", "w5", "w2", "w4", "s1", "s2"],
];

/// Returns a domain of seven routers and an account that is too heavy for the five weak ones.
fn crowded_world(preference: &'static [&'static str]) -> World {
    let account = Account {
        domain: 0,
        preference,
        load: HEAVY,
    };
    World::new(vec![Domain::new("a", 2, 5)], vec![account])
}

/// Guards against callers who stay at a weak router, or are sent from one to another, although the
/// domain has strong ones; and against a rotation of less than half, of which the balancer makes
/// all.
#[test]
fn a_heavy_account_reaches_a_strong_router_and_stays_there() {
    for (weak_before, preference) in (1..).zip(&ORDERS[..3]) {
        let mut world = crowded_world(preference);
        world.run_until(55_000);
        let (_, router) = world.router_of(0);
        assert_eq!(router, "s2", "{weak_before}");
        let settled_ms = world.late_at[0].unwrap();
        assert!(
            settled_ms < 4_000 * weak_before,
            "{weak_before}: {settled_ms}"
        );
        assert!(!world.was_below_half);
        // One router for each weak one met, one replacement for each but the first, and two more
        // that stand by with the first.
        let flips = world.domains[0].flips() as u64;
        assert!(flips <= 2 * weak_before + 1, "{weak_before}: {flips}");
    }
}

/// Guards against a first step that leaves the account with one weak router after the other: half
/// of what stays in rotation has to be strong at once.
#[test]
fn the_first_mark_leaves_as_many_strong_routers_as_weak_ones() {
    let mut world = crowded_world(ORDERS[0]);
    while world.domains[0].changes.is_empty() {
        world.run_until(world.now_ms + 50);
        assert!(world.now_ms < 2_000, "too slow");
    }
    world.run_until(world.now_ms + 3_000);
    let used = world.domains[0].used();
    assert_eq!(used.len(), 4);
    assert!(used.contains(&"s1") && used.contains(&"s2") && !used.contains(&"w3"));
    let marked = |reason| {
        let changes = world.domains[0].changes.iter();
        changes.filter(|c| c.reason == reason).count()
    };
    assert_eq!(marked(ChangeReason::Crowded), 1);
    assert_eq!(marked(ChangeReason::StrongFirst), 2);
}

/// Guards against a router on a weak link that gets its callers back, and is crowded again, as soon
/// as they have left it.
#[test]
fn callers_that_left_a_crowded_router_do_not_come_back_at_once() {
    for (load, cause) in [(HEAVY, Crowding::Link), (|_| 6.0, Crowding::Processor)] {
        let mut world = crowded_world(ORDERS[0]);
        world.accounts[0].load = load;
        let weak = world.domains[0].routers.get_mut("w3").unwrap();
        weak.processor_mbps = if cause == Crowding::Link {
            f64::MAX
        } else {
            2.0
        };
        world.run_until(58_000);
        assert!(world.late_at[0].unwrap() < 4_000);
        let marks = |world: &World| -> Vec<_> {
            let changes = world.domains[0].changes.iter();
            let marks = changes.filter_map(|c| Some((c.marked_for?, c.mark_ms)));
            marks.collect()
        };
        assert_eq!(marks(&world), [(cause, 60_000)]);
        // The account is still there when the mark ends, and the next mark lasts twice as long.
        world.run_until(190_000);
        assert_eq!(marks(&world), [(cause, 60_000), (cause, 120_000)]);
        assert!(world.late_ms < 10_000, "{}", world.late_ms);
    }
}

/// Guards against a crowd that stays at the next weak router until its link is full as well.
#[test]
fn a_crowd_that_moves_is_noticed_before_the_next_link_is_full() {
    let mut world = crowded_world(ORDERS[1]);
    world.accounts[0].load = |now| if now < 2_000 { 12.0 } else { 7.0 };
    world.run_until(12_000);
    assert_eq!(world.router_of(0).1, "s2");
}

/// Guards against routers that stand by although their load varies within their capacity.
#[test]
fn waves_and_bursts_change_nothing() {
    let waves = Account {
        domain: 0,
        preference: &["w1"],
        load: |now| 4.5 + 3.5 * (now as f64 / 700.0).sin(),
    };
    let bursts = Account {
        domain: 0,
        preference: &["w2"],
        load: |now| if now % 2_000 < 350 { 10.0 } else { 1.0 },
    };
    let mut world = World::new(vec![Domain::new("a", 2, 5)], vec![waves, bursts]);
    world.run_until(120_000);
    assert_eq!(world.domains[0].changes, []);
}

/// Guards against a rotation that changes with each wave of an account that is crowded in each.
#[test]
fn an_account_that_comes_in_waves_is_moved_once() {
    let mut world = crowded_world(ORDERS[1]);
    world.accounts[0].load = |now| if now % 4_000 < 2_500 { 30.0 } else { 0.5 };
    world.run_until(55_000);
    assert!(
        world.domains[0].flips() <= 5,
        "{}",
        world.domains[0].flips()
    );
    assert!(world.late_at[0].unwrap() < 15_000);
}

/// Guards against a domain that lacks a router while others stand by.
#[test]
fn a_weak_router_serves_when_a_strong_one_stops_or_dies() {
    for phase in [Phase::Stopping, Phase::Running] {
        let mut world = crowded_world(ORDERS[0]);
        world.run_until(10_000);
        let lost = world.domains[0].routers.get_mut("s1").unwrap();
        lost.phase = phase;
        lost.is_alive = phase == Phase::Stopping;
        let before = world.domains[0].changes.len();
        // A router that stops reports it; one that is dead is missed after three reports.
        let noticed_ms = if phase == Phase::Stopping { 200 } else { 800 };
        world.run_until(world.now_ms + noticed_ms + model::REPORT_MS);
        let changes = &world.domains[0].changes[before..];
        assert_eq!(changes.len(), 1, "{changes:?}");
        assert_eq!(changes[0].reason, ChangeReason::Replacement);
        world.run_until(25_000);
        assert!(!world.was_below_half);
        let used = world.domains[0].used();
        assert!(!used.contains(&"s1") && !used.contains(&"w3"), "{used:?}");
    }
}

/// Guards against decisions in domains where no router could take the callers of another one.
#[test]
fn routers_of_similar_bandwidth_decide_by_themselves() {
    let mut world = crowded_world(ORDERS[0]);
    for router in world.domains[0].routers.values_mut() {
        router.mbps = if router.mbps > 100.0 { 30.0 } else { 10.0 };
    }
    world.run_until(20_000);
    assert_eq!(world.domains[0].changes, []);
    let decision = world.domains[0].planner.decision(world.now(), "w3");
    assert_eq!(decision.unwrap().standing, None);
}

/// Guards against a new coordinator that sends the callers back, or lets fewer than half serve
/// because it never heard of its dead predecessor.
#[test]
fn a_new_coordinator_restores_the_state_from_reports() {
    let mut world = crowded_world(ORDERS[1]);
    world.run_until(20_000);
    let standby = |world: &World| {
        let in_rotation = world.domains[0].names(|r| !r.is_in_rotation && r.is_alive);
        in_rotation
            .into_iter()
            .map(str::to_owned)
            .collect::<Vec<_>>()
    };
    let before = standby(&world);
    assert_eq!(before.len(), 3);
    let flips = world.domains[0].flips();
    let now = world.now();
    world.domains[0].planner = RotationPlanner::new("a", now);
    world.domains[0].routers.get_mut("s1").unwrap().is_alive = false;
    world.run_until(20_500);
    assert_eq!(standby(&world), before);
    world.run_until(26_000);
    // The dead router and the one that replaces it.
    assert_eq!(world.domains[0].flips(), flips + 2);
    assert!(!world.was_below_half);
    assert_eq!(world.router_of(0).1, "s2");
    // The marks are as old as they were.
    world.run_until(59_000);
    assert_eq!(world.domains[0].flips(), flips + 2);
}

/// Guards against callers that come back to a marked router because its new process knows of no
/// mark.
#[test]
fn a_marked_router_that_restarts_stands_by() {
    let mut world = crowded_world(ORDERS[0]);
    world.run_until(10_000);
    let late_ms = world.late_ms;
    world.domains[0].routers.get_mut("w3").unwrap().is_alive = false;
    world.run_until(11_500);
    world.domains[0]
        .routers
        .insert("w3".into(), model::Router::new(model::WEAK));
    world.run_until(20_000);
    assert!(!world.domains[0].used().contains(&"w3"));
    // The balancer may check it once before its first report is answered.
    assert!(world.late_ms - late_ms <= 2_000, "{}", world.late_ms);
}

/// Guards against a coordinator that was suspended, or cut off, and goes on with what it knew.
#[test]
fn a_late_coordinator_takes_over_what_was_decided_meanwhile() {
    let mut world = crowded_world(ORDERS[1]);
    world.run_until(3_000);
    let late = world.domains[0].planner.clone();
    world.domains[0].planner = RotationPlanner::new("a", world.now());
    world.run_until(20_000);
    assert_eq!(world.router_of(0).1, "s2");
    let flips = world.domains[0].flips();
    world.domains[0].planner = late;
    world.run_until(30_000);
    assert_eq!(world.domains[0].flips(), flips);
    assert_eq!(world.router_of(0).1, "s2");
}
