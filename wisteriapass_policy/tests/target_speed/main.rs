//! Targets of different speeds: placement with and without slowness in the same replay, what moves a
//! factor, and homes of shared prompt parts.

mod factors;
mod placement;
mod replay;

use replay::{Outcome, Scenario};

/// Eleven routers before targets that are equally fast and half loaded.
const SCENARIO: Scenario = Scenario {
    routers: 11,
    targets: 21,
    requests: 8_000,
    per_s: 900.0,
    long_share: 0.0,
    slow: equal,
    uses_speeds: true,
    shares: true,
};

fn equal(_: usize, _: f64) -> f64 {
    1.0
}

fn is_third(target: usize) -> bool {
    target.is_multiple_of(3)
}

fn third_slow(target: usize, _: f64) -> f64 {
    if is_third(target) { 1.3 } else { 1.0 }
}

fn spells(target: usize, at_ms: f64) -> f64 {
    let spell = (at_ms / 600.0) as usize;
    let is_slow = (target * 5 + spell * 3).is_multiple_of(7);
    if is_slow { 2.5 } else { 1.0 }
}

fn all_slow_later(_: usize, at_ms: f64) -> f64 {
    if at_ms < 3_000.0 { 1.0 } else { 1.5 }
}

// Guards against long prompts that miss their goal at slow targets while fast ones have capacity.
#[test]
fn fewer_long_prompts_are_late_if_one_in_three_targets_is_slow() {
    let scenario = Scenario {
        slow: third_slow,
        per_s: 300.0,
        long_share: 0.03,
        ..SCENARIO
    };
    let (without, with) = scenario.compare();
    let late = |o: &Outcome| o.late_share_of_long();
    assert!(
        4.0 * late(&with) <= 3.0 * late(&without),
        "{} of {}",
        late(&with),
        late(&without)
    );
    assert_eq!(with.share_with(|f| f > 1.1, is_third), 1.0);
    assert_eq!(with.share_with(|f| f != 1.0, |t| !is_third(t)), 0.0);
}

// Guards against a target that is slow for 600 ms getting as much as the others in that time, and
// against such spells counting as lasting slowness.
#[test]
fn fewer_requests_are_late_if_targets_are_slow_in_spells() {
    let scenario = Scenario {
        slow: spells,
        ..SCENARIO
    };
    let (without, with) = scenario.compare();
    assert!(
        4.0 * with.late_share() <= 3.0 * without.late_share(),
        "{} of {}",
        with.late_share(),
        without.late_share()
    );
    assert_eq!(with.share_with(|f| f > 1.5, |_| true), 0.0);
}

// Guards against factors that only routers with much traffic learn, and against noise that routers
// share until it counts as evidence.
#[test]
fn routers_with_few_samples_learn_from_each_other() {
    let scenario = Scenario {
        slow: third_slow,
        routers: 40,
        per_s: 200.0,
        requests: 4_000,
        ..SCENARIO
    };
    let alone = Scenario {
        shares: false,
        ..scenario
    };
    let (alone, shared) = (alone.run(), scenario.run());
    let known = |o: &Outcome| o.share_with(|f| f > 1.1, is_third);
    assert!(
        known(&shared) >= 2.0 * known(&alone),
        "{} and {}",
        known(&shared),
        known(&alone)
    );
    assert_eq!(shared.share_with(|f| f > 1.0, |t| !is_third(t)), 0.0);
    assert_eq!(shared.share_with(|f| f < 1.0, is_third), 0.0);
}

// Guards against noise, or a change that concerns all targets, taken for a difference between them.
#[test]
fn nothing_changes_if_all_targets_are_equally_slow() {
    for slow in [equal, all_slow_later] {
        let (without, with) = Scenario { slow, ..SCENARIO }.compare();
        assert_eq!(with.share_with(|f| f != 1.0, |_| true), 0.0);
        assert!(
            with.late_share() <= 1.25 * without.late_share() + 0.001,
            "{} of {}",
            with.late_share(),
            without.late_share()
        );
    }
}
