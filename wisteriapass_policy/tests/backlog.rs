//! Overload is detected at a router that gets more load than it can carry, and only there.

use wisteriapass_policy::Time;
use wisteriapass_policy::overload::OverloadDetector;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Simulates a router whose link carries `capacity_kb_s` and gets `load_kb_s`, with a small call
/// every 150 ms that queues behind the other traffic; returns when it was overloaded.
fn overloaded_times(capacity_kb_s: f64, load_kb_s: impl Fn(u64) -> f64) -> Vec<u64> {
    let mut detector = OverloadDetector::default();
    let (mut queued_kb, mut times) = (0.0_f64, Vec::new());
    for now in (0..12_000).step_by(150) {
        queued_kb = (queued_kb + (load_kb_s(now) - capacity_kb_s) * 0.15).max(0.0);
        let wait_ms = (queued_kb / capacity_kb_s * 1_000.0) as u64;
        // Calls time out after 250 ms.
        detector.record_round_trip(at(now), wait_ms.min(250));
        if detector.is_overloaded(at(now)) {
            times.push(now);
        }
    }
    times
}

#[test]
fn overload_is_detected_and_cleared_quickly() {
    let load_kb_s = |now| {
        if (2_000..6_000).contains(&now) {
            4_000.0
        } else {
            300.0
        }
    };
    let times = overloaded_times(2_500.0, load_kb_s);
    let (first, last) = (times[0], times[times.len() - 1]);
    assert!((2_000..3_500).contains(&first), "{first}");
    assert!((6_000..9_500).contains(&last), "{last}");
}

#[test]
fn busy_router_within_its_capacity_is_not_overloaded() {
    assert!(overloaded_times(2_500.0, |_| 2_400.0).is_empty());
}

#[test]
fn dead_peer_or_lost_packet_is_not_overload() {
    let mut detector = OverloadDetector::default();
    for n in 0..40 {
        let round_trip_ms = if n % 2 == 0 { 250 } else { 1 };
        detector.record_round_trip(at(n * 150), round_trip_ms);
        assert!(!detector.is_overloaded(at(n * 150)));
        assert!(detector.queueing_delay_ms(at(n * 150)) <= 1);
    }
}

#[test]
fn old_samples_are_ignored() {
    let mut detector = OverloadDetector::default();
    for n in 0..5 {
        detector.record_round_trip(at(n * 150), 250);
    }
    assert!(detector.is_overloaded(at(700)));
    assert!(!detector.is_overloaded(at(10_000)));
}
