//! When a router counts as late, and how long it waits for peers then.

use wisteriapass_policy::loop_delay::{LoopDelay, additional_wait_ms};

#[test]
fn one_pause_does_not_make_a_router_late() {
    let mut delay = LoopDelay::default();
    for ms in [1, 900, 2, 1, 2_000, 0] {
        assert!(!delay.record(ms));
        assert!(!delay.is_late());
    }
}

#[test]
fn a_router_whose_timers_are_all_late_is_late_until_they_are_on_time() {
    let mut delay = LoopDelay::default();
    let changes: Vec<bool> = [300, 250, 400, 40, 60, 90, 300, 1, 2]
        .map(|ms| delay.record(ms))
        .to_vec();
    assert_eq!(changes.iter().filter(|changed| **changed).count(), 2);
    assert!(changes[2] && changes[7], "{changes:?}");
    assert_eq!(delay.delay_ms(), 1);
}

#[test]
fn only_a_timer_that_fires_late_gives_a_peer_more_time() {
    assert_eq!(additional_wait_ms(0, 0), 0);
    assert_eq!(additional_wait_ms(5, 0), 0);
    assert!(additional_wait_ms(100, 0) >= 300);
}

#[test]
fn a_peer_gets_limited_time_however_late_timers_fire() {
    assert!(additional_wait_ms(60_000, 0) <= 500);
    let mut waited_ms = 0;
    for _ in 0..1_000 {
        waited_ms += additional_wait_ms(300, waited_ms);
    }
    assert_eq!(waited_ms, 2_000);
}

/// Processor time of a request that is served and of one that is refused, in milliseconds.
const SERVE_MS: u64 = 8;
const REFUSE_MS: u64 = 1;

/// Latency goal of all requests, in milliseconds.
const GOAL_MS: u64 = 400;

/// Simulates twice the load that a router can serve for half a minute; returns the number of served
/// requests and the work that waits at the end, in milliseconds.
fn overload(refuses: bool) -> (u64, u64) {
    let mut delay = LoopDelay::default();
    let (mut waiting_ms, mut served) = (0_u64, 0);
    for now_ms in 0..30_000 {
        waiting_ms = waiting_ms.saturating_sub(1);
        if now_ms % 100 == 0 {
            delay.record(waiting_ms);
        }
        if now_ms % (SERVE_MS / 2) != 0 {
            continue;
        }
        if refuses && delay.is_too_late_for(GOAL_MS) {
            waiting_ms += REFUSE_MS;
        } else {
            served += 1;
            waiting_ms += SERVE_MS;
        }
    }
    (served, waiting_ms)
}

#[test]
fn requests_that_cannot_be_served_in_time_are_refused() {
    let (_, waiting_ms) = overload(false);
    assert!(waiting_ms > 10_000);
    let (served, waiting_ms) = overload(true);
    assert!(waiting_ms < GOAL_MS, "{waiting_ms}");
    assert!(served * SERVE_MS > 20_000, "{served}");
}
