//! Stopping routers: a roll leaves no moment without one that takes callers.

use wisteriapass_policy::drain::Drain;
use wisteriapass_policy::{LatencyHistory, PlannedRequest, Time};

/// Time between the stop signal and the kill, in milliseconds.
const GRACE_MS: u64 = 8_000;

/// Time from the end of a process until its successor takes callers, in milliseconds.
const RESTART_MS: u64 = 600;

/// Length of the longest stream, in milliseconds: so long a router drains.
const LONGEST_MS: u64 = 4_700;

/// Time between two looks, in milliseconds.
const STEP_MS: u64 = 50;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// One router of a roll, stopped at a time.
struct Rolled {
    drain: Drain,
    stop: u64,
    closed: Option<u64>,
}

impl Rolled {
    fn new(stop: u64) -> Self {
        Self {
            drain: Drain::new(at(stop), GRACE_MS),
            stop,
            closed: None,
        }
    }

    fn takes(&self, now: u64) -> bool {
        let Some(closed) = self.closed else {
            return true;
        };
        let ends = (closed + LONGEST_MS).min(self.stop + GRACE_MS);
        now >= ends + RESTART_MS
    }

    /// Looks at a time, at which callers still come or do not.
    fn look(&mut self, now: u64, callers_come: bool, last: &mut u64) {
        if callers_come {
            *last = now;
        }
        let is_idle = now >= *last + LONGEST_MS;
        if now >= self.stop && self.drain.refuses_connections(at(now), at(*last), is_idle) {
            self.closed = self.closed.or(Some(now));
        }
    }
}

#[test]
fn a_roll_of_all_routers_leaves_no_moment_without_one() {
    for gap in [1_000, 1_500, 2_000, 3_000] {
        let mut all: Vec<Rolled> = (0..3).map(|i| Rolled::new(1_000 + i * gap)).collect();
        let mut last = [0; 3];
        for now in (0..25_000).step_by(STEP_MS as usize) {
            for (router, last) in all.iter_mut().zip(&mut last) {
                // Each is the only one of its zone, so its callers come as long as it takes them.
                router.look(now, true, last);
            }
            let taking = all.iter().filter(|r| r.takes(now)).count();
            assert!(taking > 0, "nobody at {now}, gap {gap}");
        }
    }
}

#[test]
fn a_router_whose_callers_go_elsewhere_ends_early() {
    let mut router = Rolled::new(0);
    let mut last = 0;
    for now in (0..GRACE_MS).step_by(STEP_MS as usize) {
        router.look(now, now < 2_000, &mut last);
    }
    assert!(router.closed.is_some_and(|at| at <= 2_000 + LONGEST_MS));
}

#[test]
fn callers_are_taken_while_the_balancer_does_not_know_yet() {
    let drain = Drain::new(at(0), GRACE_MS);
    assert!(!drain.refuses_connections(at(2_200), at(0), true));
}

#[test]
fn late_in_a_drain_only_short_work_is_taken() {
    let drain = Drain::new(at(0), GRACE_MS);
    assert!(
        drain.accepts_work(at(2_000), 9_000),
        "nobody knows of the stop yet"
    );
    assert!(drain.accepts_work(at(3_000), 3_000));
    assert!(!drain.accepts_work(at(5_000), 3_000));
    assert!(drain.accepts_work(at(6_500), 300));
    assert!(!drain.accepts_work(at(7_500), 300));
}

#[test]
fn a_router_that_still_works_takes_callers_of_those_that_stopped_later() {
    let drain = Drain::new(at(0), GRACE_MS);
    assert!(!drain.refuses_connections(at(5_000), at(1_000), false));
    assert!(drain.refuses_connections(at(5_000), at(1_000), true));
}

/// Times of a target whose requests each begin after `begin_ms` and take `token_ms` for a token.
fn times(now: u64, begin_ms: u64, token_ms: u64) -> LatencyHistory {
    let mut times = LatencyHistory::default();
    for _ in 0..32 {
        times.record_response_start(at(now), begin_ms, 2);
        times.record_output(at(now), 100, 100 * token_ms);
    }
    times
}

/// Returns what is expected of a request with an aim of half a second and 100 tokens.
fn expected(here: &LatencyHistory, all: &LatencyHistory, now: u64) -> u64 {
    expected_beside(here, all, now, 1)
}

/// The same with other requests of the router under way there.
fn expected_beside(here: &LatencyHistory, all: &LatencyHistory, now: u64, running: u32) -> u64 {
    let work = PlannedRequest {
        latency_goal_ms: 500,
        max_output_tokens: 100,
        in_flight: running,
        silent_ms: 0,
    };
    here.expected_ms(all, at(now), work)
}

#[test]
fn work_is_expected_to_take_as_long_as_it_did_of_late() {
    let none = LatencyHistory::default();
    let unseen = expected(&none, &none, 0);
    let mut all = times(0, 100, 8);
    assert!((1_290..=1_310).contains(&expected(&none, &all, 0)));
    assert!(unseen > 1_310, "what was never seen is not trusted");
    for _ in 0..8 {
        all.record_output(at(0), 2, 2_000);
    }
    assert!(expected(&none, &all, 0) <= 1_310, "a pause is no pace");
    for _ in 0..32 {
        all.record_output(at(0), 300, 9_000);
    }
    assert!(expected(&none, &all, 0) > 3_400, "engines that slow down");
}

#[test]
fn work_that_would_wait_for_a_slot_past_the_end_is_not_taken() {
    let drain = Drain::new(at(0), GRACE_MS);
    let none = LatencyHistory::default();
    let mut all = times(0, 150, 10);
    assert!(drain.accepts_work(at(3_400), expected(&none, &all, 3_400)));
    // A queue builds up: a few requests wait long before all do.
    for n in 0..32 {
        all.record_response_start(at(3_000), if n % 6 == 0 { 2_600 } else { 150 }, 2);
    }
    assert!(!drain.accepts_work(at(3_400), expected(&none, &all, 3_400)));
    for _ in 0..32 {
        all.record_response_start(at(3_000), 150, 2);
    }
    assert!(drain.accepts_work(at(3_400), expected(&none, &all, 3_400)));
}

#[test]
fn a_slow_target_keeps_no_work_from_a_quick_one() {
    let drain = Drain::new(at(0), GRACE_MS);
    let (quick, slow) = (times(3_000, 150, 10), times(3_000, 2_600, 30));
    let all = slow.clone();
    assert!(drain.accepts_work(at(3_400), expected(&quick, &all, 3_400)));
    assert!(!drain.accepts_work(at(3_400), expected(&slow, &all, 3_400)));
}

#[test]
fn what_a_target_did_long_ago_says_little() {
    let drain = Drain::new(at(10_000), GRACE_MS);
    let all = times(13_000, 2_600, 30);
    let (old, fresh) = (times(0, 150, 10), times(13_000, 150, 10));
    assert!(drain.accepts_work(at(13_400), expected(&fresh, &all, 13_400)));
    assert!(!drain.accepts_work(at(13_400), expected(&old, &all, 13_400)));
}

#[test]
fn few_requests_do_not_speak_for_a_target() {
    let all = times(0, 2_600, 30);
    let mut here = LatencyHistory::default();
    for _ in 0..3 {
        here.record_response_start(at(0), 150, 2);
        here.record_output(at(0), 100, 1_000);
    }
    assert_eq!(expected(&here, &all, 0), expected(&all, &all, 0));
}

// A target that had just started, and was slow yet, was taken for one like all others.
#[test]
fn of_a_target_that_is_not_known_the_worst_is_expected() {
    let mut all = times(0, 150, 10);
    all.record_output(at(0), 100, 2_300);
    let none = LatencyHistory::default();
    assert!(expected(&none, &all, 0) >= 500 + 2_300);
    assert!(expected(&all, &all, 0) < 500 + 2_300);
}

#[test]
fn a_target_that_fell_silent_gets_no_late_work() {
    let drain = Drain::new(at(0), GRACE_MS);
    let quick = times(3_000, 150, 10);
    let takes = |silent_ms| {
        let work = PlannedRequest {
            latency_goal_ms: 500,
            max_output_tokens: 100,
            in_flight: 1,
            silent_ms,
        };
        drain.accepts_work(at(3_400), quick.expected_ms(&quick, at(3_400), work))
    };
    assert!(takes(100));
    assert!(!takes(2_500));
}

// Fifteen streams went to the one target whose times fitted, and were cut together.
#[test]
fn late_work_does_not_all_go_to_the_quickest_target() {
    let drain = Drain::new(at(0), GRACE_MS);
    let (quick, slow) = (times(3_000, 150, 15), times(3_000, 2_600, 30));
    let takes = |running| {
        let expected_ms = expected_beside(&quick, &slow, 3_400, running);
        drain.accepts_work(at(3_400), expected_ms)
    };
    assert!(takes(1), "as many as it had of late");
    let taken = (1..15).filter(|running| takes(*running)).count();
    assert!(taken < 4, "{taken} beside each other");
}

#[test]
fn targets_end_before_work_is_given_up_and_both_before_the_kill() {
    let drain = Drain::new(at(1_000), GRACE_MS);
    let kill = at(1_000 + GRACE_MS);
    let targets_end = at(3_000).plus_millis(drain.target_time_left_ms(at(3_000)));
    assert!(
        drain.expected_end() < targets_end
            && targets_end < drain.abort_time()
            && drain.abort_time() < kill
    );
    assert_eq!(drain.target_time_left_ms(kill), 0);
}
