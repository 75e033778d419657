//! What routers measure and report of their load.

use wisteriapass_policy::rotation::Crowding;
use wisteriapass_policy::{LinkMeter, Time};

/// Guards against a measurement that adds both directions of a link, forgets its window, or keeps
/// old bytes.
#[test]
fn utilization_is_that_of_the_busier_direction_in_half_a_second() {
    let mut meter = LinkMeter::new(8.0);
    for ms in (0..2_000).step_by(10) {
        meter.record(Time::from_millis(ms), 5_000, 2_000);
    }
    let at = |ms| meter.utilization(Time::from_millis(ms));
    assert!((at(1_999) - 0.5).abs() < 0.01, "{}", at(1_999));
    assert!((at(2_250) - 0.25).abs() < 0.05, "{}", at(2_250));
    assert_eq!(at(2_500), 0.0);
    assert_eq!(at(1_000_000), 0.0);
}

/// Guards against marks of idle routers whose calls are slow because their peers are dead.
#[test]
fn slow_calls_of_an_idle_router_are_no_crowd() {
    assert_eq!(Crowding::of(0.01, true), Crowding::None);
    assert_eq!(Crowding::of(0.3, true), Crowding::Processor);
    assert_eq!(Crowding::of(0.9, true), Crowding::Link);
    assert_eq!(Crowding::of(0.8, false), Crowding::None);
}
