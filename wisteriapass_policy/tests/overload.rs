//! A router that more comes to than it carries knows so, and nobody else does.

use wisteriapass_policy::Time;
use wisteriapass_policy::overload::OverloadDetector;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// A router whose link carries so many kilobytes a second and gets others, with a small call each
/// 150 ms that waits behind what came before; returns when it was behind.
fn behind(carries: f64, gets: impl Fn(u64) -> f64) -> Vec<u64> {
    let mut backlog = OverloadDetector::default();
    let (mut queued, mut times) = (0.0_f64, Vec::new());
    for now in (0..12_000).step_by(150) {
        queued = (queued + (gets(now) - carries) * 0.15).max(0.0);
        let wait_ms = (queued / carries * 1_000.0) as u64;
        // No call is waited for longer than that.
        backlog.record_round_trip(at(now), wait_ms.min(250));
        if backlog.is_overloaded(at(now)) {
            times.push(now);
        }
    }
    times
}

#[test]
fn one_caller_that_presses_on_a_small_router_is_noticed_soon_and_forgotten_soon() {
    let gets = |now| {
        if (2_000..6_000).contains(&now) {
            4_000.0
        } else {
            300.0
        }
    };
    let times = behind(2_500.0, gets);
    let (first, last) = (times[0], times[times.len() - 1]);
    assert!((2_000..3_500).contains(&first), "{first}");
    assert!((6_000..9_500).contains(&last), "{last}");
}

#[test]
fn a_busy_router_that_carries_it_is_not_behind() {
    assert!(behind(2_500.0, |_| 2_400.0).is_empty());
}

#[test]
fn a_dead_peer_or_a_lost_packet_is_no_backlog() {
    let mut backlog = OverloadDetector::default();
    for n in 0..40 {
        let took = if n % 2 == 0 { 250 } else { 1 };
        backlog.record_round_trip(at(n * 150), took);
        assert!(!backlog.is_overloaded(at(n * 150)));
        assert!(backlog.queueing_delay_ms(at(n * 150)) <= 1);
    }
}

#[test]
fn what_was_measured_long_ago_says_nothing() {
    let mut backlog = OverloadDetector::default();
    for n in 0..5 {
        backlog.record_round_trip(at(n * 150), 250);
    }
    assert!(backlog.is_overloaded(at(700)));
    assert!(!backlog.is_overloaded(at(10_000)));
}
