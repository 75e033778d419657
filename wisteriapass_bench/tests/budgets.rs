//! Budget simulation in virtual time: no overspend and few false refusals in any scenario.

use wisteriapass_bench::budgets::{Comparison, Scenario, simulate};

const SEED: u64 = 1;

/// Upper bound of the share of false refusals while at least 5% of the budget is left.
const MAX_FALSE_REFUSAL_SHARE: f64 = 0.01;

/// Upper bound of the store writes per second at the simulated fleet size.
const MAX_WRITES_PER_S: f64 = 20.0;

fn assert_within_limits(comparison: &Comparison) {
    let escrow = &comparison.escrow;
    assert_eq!(escrow.overspend, 0, "{}", comparison.text(false));
    let share = escrow.false_with_plenty as f64 / escrow.with_plenty as f64;
    assert!(
        share < MAX_FALSE_REFUSAL_SHARE,
        "{}",
        comparison.text(false)
    );
    assert!(
        escrow.writes_per_s < MAX_WRITES_PER_S,
        "{}",
        comparison.text(false)
    );
}

#[test]
fn false_refusals_and_writes_stay_within_limits() {
    for scenario in Scenario::ALL {
        assert_within_limits(&simulate(scenario, SEED));
    }
}

#[test]
fn static_split_refuses_covered_requests_under_skewed_load() {
    let comparison = simulate(Scenario::Skewed, SEED);
    assert!(comparison.split.false_with_plenty > comparison.split.requests / 2);
    assert_eq!(comparison.escrow.refused, 0, "{}", comparison.text(false));
}

#[test]
fn escrow_refuses_fewer_requests_than_static_split_near_exhaustion() {
    let comparison = simulate(Scenario::NearlyEmpty, SEED);
    assert!(comparison.escrow.false_nearly_empty < comparison.split.false_nearly_empty / 5);
}

#[test]
fn tokens_of_a_lost_router_are_recovered() {
    let comparison = simulate(Scenario::RouterLoss, SEED);
    assert!(comparison.escrow.recovered > 0 && comparison.escrow.stranded == 0);
    assert!(comparison.split.stranded > 0);
}
