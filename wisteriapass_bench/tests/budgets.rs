//! Budgets in virtual time: nothing overspent, and few false refusals, whatever befalls the fleet.

use wisteriapass_bench::budgets::{Comparison, Scenario, simulate};

const SEED: u64 = 1;

/// Largest share of false refusals while a twentieth of the budget is left.
const MOST_FALSE: f64 = 0.01;

/// Largest number of writes a second at today's sizes.
const MOST_WRITES: f64 = 20.0;

fn assert_holds(outcome: &Comparison) {
    let f = &outcome.escrow;
    assert_eq!(f.overspend, 0, "{}", outcome.text(false));
    let share = f.false_with_plenty as f64 / f.with_plenty as f64;
    assert!(share < MOST_FALSE, "{}", outcome.text(false));
    assert!(f.writes_per_s < MOST_WRITES, "{}", outcome.text(false));
}

#[test]
fn false_refusals_are_rare_and_writes_are_few() {
    for scenario in Scenario::ALL {
        assert_holds(&simulate(scenario, SEED));
    }
}

#[test]
fn a_static_split_refuses_what_the_fleet_could_pay_where_callers_are_skewed() {
    let outcome = simulate(Scenario::Skewed, SEED);
    assert!(outcome.split.false_with_plenty > outcome.split.requests / 2);
    assert_eq!(outcome.escrow.refused, 0, "{}", outcome.text(false));
}

#[test]
fn the_last_tokens_are_refused_less_often_than_by_a_static_split() {
    let outcome = simulate(Scenario::NearlyEmpty, SEED);
    assert!(outcome.escrow.false_nearly_empty < outcome.split.false_nearly_empty / 5);
}

#[test]
fn a_lost_router_s_money_comes_back() {
    let outcome = simulate(Scenario::RouterLoss, SEED);
    assert!(outcome.escrow.recovered > 0 && outcome.escrow.stranded == 0);
    assert!(outcome.split.stranded > 0);
}
