//! Shutdown of routers: a rolling restart always leaves one that accepts callers.

use wisteriapass_policy::drain::{Drain, StreamGoals};
use wisteriapass_policy::{LatencyHistory, PlannedRequest, Time};

/// Time between the stop signal and the kill, in milliseconds.
const GRACE_MS: u64 = 8_000;

/// Time from the end of a process until its successor accepts callers, in milliseconds.
const RESTART_MS: u64 = 600;

/// Duration of the longest stream, and thus of a drain, in milliseconds.
const LONGEST_STREAM_MS: u64 = 4_700;

/// Simulation step, in milliseconds.
const STEP_MS: u64 = 50;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// A router of a rolling restart.
struct StoppingRouter {
    drain: Drain,
    stopped_at: u64,
    closed_at: Option<u64>,
}

impl StoppingRouter {
    fn new(stopped_at: u64) -> Self {
        Self {
            drain: Drain::new(at(stopped_at), GRACE_MS),
            stopped_at,
            closed_at: None,
        }
    }

    fn accepts(&self, now: u64) -> bool {
        let Some(closed_at) = self.closed_at else {
            return true;
        };
        let ends = (closed_at + LONGEST_STREAM_MS).min(self.stopped_at + GRACE_MS);
        now >= ends + RESTART_MS
    }

    /// Advances the router to a time, with or without callers arriving.
    fn step(&mut self, now: u64, has_callers: bool, last_connection: &mut u64) {
        if has_callers {
            *last_connection = now;
        }
        let is_idle = now >= *last_connection + LONGEST_STREAM_MS;
        if now >= self.stopped_at
            && self
                .drain
                .refuses_connections(at(now), at(*last_connection), is_idle)
        {
            self.closed_at = self.closed_at.or(Some(now));
        }
    }
}

#[test]
fn rolling_restart_always_leaves_a_router_that_accepts() {
    for gap in [1_000, 1_500, 2_000, 3_000] {
        let mut routers: Vec<StoppingRouter> = (0..3)
            .map(|i| StoppingRouter::new(1_000 + i * gap))
            .collect();
        let mut last_connection = [0; 3];
        for now in (0..25_000).step_by(STEP_MS as usize) {
            for (router, last_connection) in routers.iter_mut().zip(&mut last_connection) {
                // Each router is the only one of its zone, so its callers arrive as long as it
                // accepts them.
                router.step(now, true, last_connection);
            }
            let accepting = routers.iter().filter(|r| r.accepts(now)).count();
            assert!(
                accepting > 0,
                "no router accepts callers at {now}, gap {gap}"
            );
        }
    }
}

#[test]
fn router_without_new_callers_closes_early() {
    let mut router = StoppingRouter::new(0);
    let mut last_connection = 0;
    for now in (0..GRACE_MS).step_by(STEP_MS as usize) {
        router.step(now, now < 2_000, &mut last_connection);
    }
    assert!(
        router
            .closed_at
            .is_some_and(|at| at <= 2_000 + LONGEST_STREAM_MS)
    );
}

#[test]
fn callers_are_accepted_until_the_balancer_notices() {
    let drain = Drain::new(at(0), GRACE_MS);
    assert!(!drain.refuses_connections(at(2_200), at(0), true));
}

#[test]
fn only_short_work_is_accepted_late_in_a_drain() {
    let drain = Drain::new(at(0), GRACE_MS);
    assert!(
        drain.accepts_work(at(2_000), 9_000),
        "callers do not know of the stop yet"
    );
    assert!(drain.accepts_work(at(3_000), 3_000));
    assert!(!drain.accepts_work(at(5_000), 3_000));
    assert!(drain.accepts_work(at(6_500), 300));
    assert!(!drain.accepts_work(at(7_500), 300));
}

/// Guards against late streams that are cut because their estimates were wrong.
#[test]
fn late_streams_are_delivered_whole_to_callers_that_still_wait() {
    let drain = Drain::new(at(0), GRACE_MS);
    let goals = |latency_goal_ms, gap_goal_ms| StreamGoals {
        latency_goal_ms,
        gap_goal_ms,
    };
    let quick = goals(400, None);
    assert!(!drain.delivers_whole_streams(at(2_600)));
    assert!(drain.accepts_stream(at(2_200), 9_000, quick));
    assert!(drain.accepts_stream(at(2_600), 3_000, quick));
    assert!(drain.delivers_whole_streams(at(2_800)));
    assert!(drain.accepts_stream(at(2_900), 1_900, quick));
    assert!(!drain.accepts_stream(at(2_900), 2_100, quick));
    assert!(drain.accepts_stream(at(2_900), 2_900, goals(800, None)));
    assert!(drain.accepts_stream(at(2_900), 2_300, goals(400, Some(300))));
    assert!(!drain.accepts_stream(at(6_000), 1_900, quick));
}

#[test]
fn busy_router_still_accepts_callers_of_routers_stopped_later() {
    let drain = Drain::new(at(0), GRACE_MS);
    assert!(!drain.refuses_connections(at(5_000), at(1_000), false));
    assert!(drain.refuses_connections(at(5_000), at(1_000), true));
}

/// Returns the history of a target whose answers start after `begin_ms` and take `token_ms` per
/// token.
fn latency_history(now: u64, begin_ms: u64, token_ms: u64) -> LatencyHistory {
    let mut history = LatencyHistory::default();
    for _ in 0..32 {
        history.record_response_start(at(now), begin_ms, 2);
        history.record_output(at(now), 100, 100 * token_ms);
    }
    history
}

/// Returns the expected time of a request with a latency goal of half a second and 100 tokens.
fn expected_ms(target: &LatencyHistory, all: &LatencyHistory, now: u64) -> u64 {
    expected_with_in_flight(target, all, now, 1)
}

/// Returns the expected time with `in_flight` requests of the router in flight at the target.
fn expected_with_in_flight(
    target: &LatencyHistory,
    all: &LatencyHistory,
    now: u64,
    in_flight: u32,
) -> u64 {
    let work = PlannedRequest {
        latency_goal_ms: 500,
        max_output_tokens: 100,
        in_flight,
        silent_ms: 0,
    };
    target.expected_ms(all, at(now), work)
}

#[test]
fn expected_time_follows_recent_requests() {
    let no_samples = LatencyHistory::default();
    let default_ms = expected_ms(&no_samples, &no_samples, 0);
    let mut all = latency_history(0, 100, 8);
    assert!((1_290..=1_310).contains(&expected_ms(&no_samples, &all, 0)));
    assert!(default_ms > 1_310, "the default is above the measured time");
    for _ in 0..8 {
        all.record_output(at(0), 2, 2_000);
    }
    assert!(
        expected_ms(&no_samples, &all, 0) <= 1_310,
        "short streams are ignored"
    );
    for _ in 0..32 {
        all.record_output(at(0), 300, 9_000);
    }
    assert!(
        expected_ms(&no_samples, &all, 0) > 3_400,
        "slower engines raise the estimate"
    );
}

#[test]
fn work_that_would_queue_past_the_deadline_is_refused() {
    let drain = Drain::new(at(0), GRACE_MS);
    let no_samples = LatencyHistory::default();
    let mut all = latency_history(0, 150, 10);
    assert!(drain.accepts_work(at(3_400), expected_ms(&no_samples, &all, 3_400)));
    // A queue builds up: a few requests wait long before all of them do.
    for n in 0..32 {
        all.record_response_start(at(3_000), if n % 6 == 0 { 2_600 } else { 150 }, 2);
    }
    assert!(!drain.accepts_work(at(3_400), expected_ms(&no_samples, &all, 3_400)));
    for _ in 0..32 {
        all.record_response_start(at(3_000), 150, 2);
    }
    assert!(drain.accepts_work(at(3_400), expected_ms(&no_samples, &all, 3_400)));
}

#[test]
fn slow_target_does_not_affect_a_fast_one() {
    let drain = Drain::new(at(0), GRACE_MS);
    let (quick, slow) = (
        latency_history(3_000, 150, 10),
        latency_history(3_000, 2_600, 30),
    );
    let all = slow.clone();
    assert!(drain.accepts_work(at(3_400), expected_ms(&quick, &all, 3_400)));
    assert!(!drain.accepts_work(at(3_400), expected_ms(&slow, &all, 3_400)));
}

#[test]
fn old_samples_of_a_target_are_ignored() {
    let drain = Drain::new(at(10_000), GRACE_MS);
    let all = latency_history(13_000, 2_600, 30);
    let (old, fresh) = (
        latency_history(0, 150, 10),
        latency_history(13_000, 150, 10),
    );
    assert!(drain.accepts_work(at(13_400), expected_ms(&fresh, &all, 13_400)));
    assert!(!drain.accepts_work(at(13_400), expected_ms(&old, &all, 13_400)));
}

#[test]
fn few_samples_fall_back_to_the_service() {
    let all = latency_history(0, 2_600, 30);
    let mut target = LatencyHistory::default();
    for _ in 0..3 {
        target.record_response_start(at(0), 150, 2);
        target.record_output(at(0), 100, 1_000);
    }
    assert_eq!(expected_ms(&target, &all, 0), expected_ms(&all, &all, 0));
}

// Guards against treating a newly started, still slow target like all the others.
#[test]
fn unknown_target_is_expected_to_be_the_slowest() {
    let mut all = latency_history(0, 150, 10);
    all.record_output(at(0), 100, 2_300);
    let no_samples = LatencyHistory::default();
    assert!(expected_ms(&no_samples, &all, 0) >= 500 + 2_300);
    assert!(expected_ms(&all, &all, 0) < 500 + 2_300);
}

#[test]
fn silent_target_gets_no_late_work() {
    let drain = Drain::new(at(0), GRACE_MS);
    let quick = latency_history(3_000, 150, 10);
    let accepts = |silent_ms| {
        let work = PlannedRequest {
            latency_goal_ms: 500,
            max_output_tokens: 100,
            in_flight: 1,
            silent_ms,
        };
        drain.accepts_work(at(3_400), quick.expected_ms(&quick, at(3_400), work))
    };
    assert!(accepts(100));
    assert!(!accepts(2_500));
}

// Guards against sending all late streams to the one target that is fast enough: fifteen were cut
// off there together.
#[test]
fn late_work_is_not_all_sent_to_the_fastest_target() {
    let drain = Drain::new(at(0), GRACE_MS);
    let (quick, slow) = (
        latency_history(3_000, 150, 15),
        latency_history(3_000, 2_600, 30),
    );
    let accepts = |in_flight| {
        let expected_ms = expected_with_in_flight(&quick, &slow, 3_400, in_flight);
        drain.accepts_work(at(3_400), expected_ms)
    };
    assert!(accepts(1), "no more requests than usual");
    let accepted = (1..15).filter(|in_flight| accepts(*in_flight)).count();
    assert!(accepted < 4, "{accepted} accepted");
}

#[test]
fn targets_stop_before_requests_are_aborted_and_both_before_the_kill() {
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
