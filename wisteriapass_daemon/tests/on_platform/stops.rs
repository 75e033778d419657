//! Requests accepted by a stopping router get a complete answer or an accurate refusal.

use std::time::Duration;

use nix::sys::signal::Signal;
use wisteriapass_bench::standin::users_platform::{Behaviour, SimulatedTarget};

use crate::support::{Answer, Request, Router, TestPlatform, exchange, wait_for};

/// Time after a stop by which the load balancer knows of it; not a limit of the product.
const BALANCER_DELAY: Duration = Duration::from_millis(2_600);

/// Time from a stop to a pause that begins before the router aborts requests.
const PAUSE_DELAY: Duration = Duration::from_millis(7_000);

/// Time after a stop from which no stream may be cut any more.
const LATE: Duration = Duration::from_millis(3_100);

/// Number of streams that end quickly, and of late ones that do not.
const QUICK_STREAMS: usize = 8;

/// How much slower those are.
const SLOWDOWN: u32 = 60;

/// Length of that pause, which ends behind the router's exit time.
const PAUSE: Duration = Duration::from_millis(1_200);

/// Stops a router that has a stream in progress, and sends it the request `late` after that. The
/// targets behave as given; returns the answer to the late request.
fn answer_to_late_request(
    platform: &TestPlatform,
    targets: &[SimulatedTarget],
    behaviour: Behaviour,
    late: &Request,
) -> Option<Answer> {
    let mut router = Router::start("r", &platform.store);
    for target in &platform.engines {
        target.push_behaviours(&[Behaviour::SlowStream(45)]);
    }
    let port = router.port();
    let long = std::thread::spawn(move || {
        let request = Request::new("long", "/draft/x").with_tokens(100, 10);
        exchange(port, &request.text())
    });
    let started = || {
        platform
            .engines
            .iter()
            .any(|t| !t.received_requests().is_empty())
    };
    wait_for("a stream", started);
    for target in targets {
        target.replace_behaviours(&[behaviour; 4]);
    }
    router.signal(Signal::SIGTERM);
    // A busy machine delivers the signal late, and the router counts from its delivery.
    wait_for("the begin of the stop", || !router.is_ready());
    std::thread::sleep(BALANCER_DELAY);
    let answer = router.send(late);
    assert_eq!(long.join().unwrap().unwrap().events(), [1, 2, 3, 4, 5]);
    router.wait();
    answer
}

// The request waited for a slot at its target until its router exited, which closed the connection
// to the caller.
#[test]
fn a_late_stream_queued_at_its_target_is_refused_before_the_router_exits() {
    let platform = TestPlatform::new(10_000);
    let late = Request::new("late", "/draft/x").with_tokens(100, 10);
    let answer =
        answer_to_late_request(&platform, &platform.engines, Behaviour::QueueTimeout, &late);
    assert_eq!(answer.map(|a| a.status), Some(503));
    let ran = |t: &SimulatedTarget| {
        t.received_requests()
            .iter()
            .any(|s| s.ran && s.header("x-attempt-id") == "late")
    };
    assert!(!platform.engines.iter().any(ran));
}

// The target accepted the request and never answered, and the router exited, which closed the
// connection to the caller.
#[test]
fn a_late_request_at_a_hanging_target_is_answered_before_the_router_exits() {
    let platform = TestPlatform::new(10_000);
    let late = Request::new("late", "/once/x");
    let answer = answer_to_late_request(&platform, &platform.plain, Behaviour::Hang, &late);
    let status = answer.map(|a| a.status);
    assert!(matches!(status, Some(502 | 504)), "{status:?}");
    assert_eq!(platform.plain_runs(), 1);
}

// The target sent the head of a stream and no event, and the router exited, which closed the
// connection to the caller after the head.
#[test]
fn a_late_stream_without_events_is_answered_before_the_router_exits() {
    let platform = TestPlatform::new(10_000);
    let late = Request::new("late", "/draft/x").with_tokens(100, 10);
    let answer = answer_to_late_request(&platform, &platform.engines, Behaviour::Stall(0), &late);
    assert_eq!(answer.map(|a| a.status), Some(502));
}

// The target continued past the deadline that it had received.
#[test]
fn a_late_request_whose_target_ignores_its_deadline_is_answered() {
    let platform = TestPlatform::new(10_000);
    let late = Request::new("late", "/once/x").with_remaining(60_000);
    let answer = answer_to_late_request(&platform, &platform.plain, Behaviour::Stall(0), &late);
    assert_eq!(answer.map(|a| a.status), Some(502));
}

/// Guards against a late stream that takes longer than all before it, and is cut by the router's end
/// behind its first events.
#[test]
fn a_late_stream_that_outlasts_its_estimate_is_cut() {
    let platform = TestPlatform::new(1_000_000);
    let mut router = Router::start("r", &platform.store);
    let stream = |id: &str| Request::new(id, "/draft/x").with_tokens(100, 10);
    for n in 0..QUICK_STREAMS {
        let answer = router.send(&stream(&format!("quick{n}")));
        assert_eq!(answer.map(|a| a.status), Some(200));
    }
    let port = router.port();
    let send = |id: &str| {
        let text = stream(id).with_remaining(60_000).text();
        std::thread::spawn(move || exchange(port, &text))
    };
    let late = |n: usize| send(&format!("late{n}"));
    // The router accepts callers for as long as it has work.
    platform.engines[0].push_behaviours(&[Behaviour::SlowStream(SLOWDOWN)]);
    platform.engines[1].push_behaviours(&[Behaviour::SlowStream(SLOWDOWN)]);
    let long = send("long");
    let runs = || platform.engines.iter().map(SimulatedTarget::run_count);
    wait_for("a long stream", || runs().sum::<usize>() > QUICK_STREAMS);
    for engine in &platform.engines {
        engine.clear_behaviours();
    }
    router.signal(Signal::SIGTERM);
    wait_for("the begin of the stop", || !router.is_ready());
    std::thread::sleep(LATE);
    let quick = late(0)
        .join()
        .unwrap()
        .expect("an answer to a quick stream");
    assert_eq!(quick.events(), [1, 2, 3, 4, 5]);
    for engine in &platform.engines {
        engine.replace_behaviours(&[Behaviour::SlowStream(SLOWDOWN); QUICK_STREAMS]);
    }
    let callers: Vec<_> = (1..=QUICK_STREAMS).map(late).collect();
    let answers = callers.into_iter().map(|c| c.join().unwrap());
    let answers: Vec<_> = answers.collect();
    for (n, answer) in answers.iter().enumerate() {
        let status = answer.as_ref().map(|a| a.status);
        assert!(matches!(status, Some(502 | 503)), "{n}: {status:?}");
    }
    assert_eq!(long.join().unwrap().unwrap().events(), [1, 2, 3, 4, 5]);
    router.wait();
    // Log lines are written behind the answers that they tell of.
    assert!(router.log().contains("reason=cut_short"), "none was taken");
}

// A router that got no processor time from before its abort until behind its exit time exited at
// once, which closed the connections to its callers.
#[test]
fn a_router_that_wakes_up_late_answers_before_it_exits() {
    let platform = TestPlatform::new(10_000);
    let mut router = Router::start("r", &platform.store);
    for target in &platform.plain {
        target.push_behaviours(&[Behaviour::Stall(0)]);
    }
    let port = router.port();
    let request = Request::new("stalled", "/once/x").with_remaining(60_000);
    let caller = std::thread::spawn(move || exchange(port, &request.text()));
    wait_for("a run", || platform.plain_runs() > 0);
    router.signal(Signal::SIGTERM);
    wait_for("the begin of the stop", || !router.is_ready());
    std::thread::sleep(PAUSE_DELAY);
    router.signal(Signal::SIGSTOP);
    std::thread::sleep(PAUSE);
    router.signal(Signal::SIGCONT);
    let status = caller.join().unwrap().map(|a| a.status);
    assert!(matches!(status, Some(502 | 504)), "{status:?}");
    router.wait();
}

// The late stream was queued behind others that had more time left, and was interrupted by the exit
// of the router.
#[test]
fn a_late_stream_has_the_highest_priority_at_its_target() {
    let platform = TestPlatform::new(10_000);
    let late = Request::new("late", "/draft/x").with_tokens(100, 10);
    answer_to_late_request(&platform, &platform.engines, Behaviour::Answer, &late);
    let seen: Vec<_> = platform
        .engines
        .iter()
        .flat_map(|t| t.received_requests())
        .collect();
    let priority = |id: &str| {
        let found = seen.iter().find(|s| s.header("x-attempt-id") == id);
        found.map(|s| s.header("x-request-priority").to_owned())
    };
    assert_eq!(priority("long").as_deref(), Some("1"));
    assert_eq!(priority("late").as_deref(), Some("0"));
}

// Targets did not learn of a router's stop, and went on with work whose answers nobody could
// receive.
#[test]
fn targets_receive_the_deadline_of_a_stopping_router() {
    let platform = TestPlatform::new(10_000);
    let late = Request::new("late", "/safe/x").with_remaining(60_000);
    answer_to_late_request(&platform, &platform.plain, Behaviour::Answer, &late);
    let seen = platform.plain.iter().flat_map(|t| t.received_requests());
    let deadlines: Vec<u64> = seen
        .filter_map(|s| s.header("x-deadline-remaining").parse().ok())
        .collect();
    // There are 8 s from the signal to the kill, of which 2.6 s have passed and 0.35 s are
    // reserved.
    assert!(
        matches!(deadlines[..], [ms] if ms <= 5_050),
        "{deadlines:?}"
    );
}
