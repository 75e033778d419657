//! Targets that turn requests away and ask for rest get none until its end.

use std::thread::sleep;
use std::time::{Duration, Instant};

use wisteriapass_bench::standin::users_platform::{Behaviour, SimulatedTarget};

use crate::support::{Request, Router, TestPlatform, reach};

/// Rest that a target asks for, and its text in answers.
const REST: Duration = Duration::from_secs(3);
const REST_TEXT: &str = "3";

/// Rest that lasts longer than a test, in seconds.
const LONG_REST_TEXT: &str = "60";
const LONG_REST_S: f64 = 60.0;

/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(20);

/// Returns a request to a plain target.
fn plain(id: &str) -> Request {
    Request::new(id, "/safe/x")
}

/// Returns a streamed request that is sent to one target only.
fn stream(id: &str) -> Request {
    Request::new(id, "/draft/x").with_tokens(10, 10)
}

/// Makes a target turn the next request away and ask for rest; returns when that arrived.
fn ask_for_rest(
    router: &Router,
    target: &SimulatedTarget,
    request: fn(&str) -> Request,
    rest: &'static str,
) -> Instant {
    target.set_retry_after(Some(rest));
    target.replace_behaviours(&[Behaviour::Shed]);
    let asked_at = reach(router, target, request, &target.entry_key());
    target.set_retry_after(None);
    asked_at
}

/// Guards against requests at a target while it rests, of a plain service and of streams.
#[test]
fn a_target_that_asked_for_rest_gets_requests_before_its_end() {
    let platform = TestPlatform::with_engines(1_000_000, 1);
    platform.store.remove(&platform.plain[1].entry_key());
    let router = Router::start("r", &platform.store);
    let cases = [
        (&platform.plain[0], plain as fn(&str) -> Request),
        (&platform.engines[0], stream),
    ];
    for (target, request) in cases {
        let asked_at = ask_for_rest(&router, target, request, REST_TEXT);
        let before = target.received_requests().len();
        let mut n = 0;
        while asked_at.elapsed() < REST {
            n += 1;
            router.send(&request(&format!("rest-{}-{n}", target.entry_key())));
            sleep(PAUSE);
        }
        let received = target.received_requests();
        let received = received[before..].iter().filter_map(|r| r.arrived);
        let early = received.filter(|at| *at < asked_at + REST).count();
        assert_eq!(early, 0, "of {n} requests while it rests");
        reach(&router, target, request, "after");
    }
}

#[test]
fn requests_are_refused_at_once_while_all_targets_rest() {
    let platform = TestPlatform::new(1_000_000);
    let router = Router::start("r", &platform.store);
    for target in &platform.plain {
        ask_for_rest(&router, target, plain, LONG_REST_TEXT);
    }
    let answer = router.send(&plain("refused")).unwrap();
    assert_eq!(answer.status, 503);
    assert!(answer.body.contains("resting"), "{}", answer.body);
    let retry_after = answer.head.split("retry-after: ").nth(1).unwrap();
    let retry_after: f64 = retry_after.lines().next().unwrap().parse().unwrap();
    assert!((1.0..2.0 * LONG_REST_S).contains(&retry_after));
}

/// Guards against answers that ask for nothing and take a target out of service.
#[test]
fn a_time_to_come_back_in_another_answer_is_taken_for_a_rest() {
    let platform = TestPlatform::new(1_000_000);
    platform.store.remove(&platform.plain[1].entry_key());
    let router = Router::start("r", &platform.store);
    let target = &platform.plain[0];
    target.set_retry_after(Some("500"));
    for behaviour in [
        Behaviour::Answer,
        Behaviour::ServerError,
        Behaviour::WrongAttemptId,
    ] {
        target.replace_behaviours(&[behaviour]);
        reach(&router, target, plain, &format!("{behaviour:?}"));
        reach(&router, target, plain, &format!("after{behaviour:?}"));
    }
}
