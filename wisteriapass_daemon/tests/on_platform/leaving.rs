//! Targets that state in their answers that they leave get no new requests.

use std::thread::{JoinHandle, sleep, spawn};
use std::time::Duration;

use wisteriapass_bench::standin::users_platform::{Behaviour, SimulatedTarget, StoreFault};

use crate::support::{Answer, Request, Router, TestPlatform, exchange, reach, wait_for};

/// Number of requests of which each of two targets in use receives at least one.
const ENOUGH_REQUESTS: usize = 40;

/// Time in which a stream begins.
const HEAD_TIME: Duration = Duration::from_millis(500);

/// Time in which a router takes over an entry.
const ENTRY_TIME: Duration = Duration::from_secs(2);

/// Returns a request to a plain target.
fn plain(id: &str) -> Request {
    Request::new(id, "/safe/x")
}

/// Returns a streamed request that may be resumed.
fn stream(id: &str) -> Request {
    Request::new(id, "/ask/x").with_tokens(10, 10)
}

/// Sends one streamed request to a target, and returns once its answer has begun.
fn reach_in_background(router: &Router, target: &SimulatedTarget) -> JoinHandle<Option<Answer>> {
    loop {
        let before = target.received_requests().len();
        let (port, request) = (router.port(), stream("long"));
        let sent = spawn(move || exchange(port, &request.text()));
        sleep(HEAD_TIME);
        if target.received_requests().len() > before {
            return sent;
        }
    }
}

/// Asserts that a target receives none of many requests, which the other target answers.
fn assert_unused(
    router: &Router,
    target: &SimulatedTarget,
    request: fn(&str) -> Request,
    series: &str,
) {
    let before = target.received_requests().len();
    for n in 0..ENOUGH_REQUESTS {
        let answer = router.send(&request(&format!("{series}-{n}")));
        assert_eq!(answer.map(|a| a.status), Some(200), "{series} {n}");
    }
    let received = target.received_requests().len() - before;
    assert_eq!(received, 0, "requests behind the target's word, {series}");
}

/// Guards against requests at a target that has said it leaves, in an outage of the store and after.
#[test]
fn a_target_that_said_it_leaves_receives_requests_until_the_store_says_so() {
    let platform = TestPlatform::new(1_000_000);
    let router = Router::start("r", &platform.store);
    let target = &platform.plain[0];
    platform.store.set_fault(StoreFault::Silent);
    target.set_leaving(true);
    reach(&router, target, plain, "told");
    assert_unused(&router, target, plain, "outage");
    platform.store.set_fault(StoreFault::None);
    platform
        .store
        .put(&target.entry_key(), target.entry("plain", "ready"));
    sleep(ENTRY_TIME);
    assert_unused(&router, target, plain, "ready");
}

/// Guards against a kind of answer whose statements are not read.
#[test]
fn an_answer_that_says_the_target_leaves_is_not_heeded() {
    let platform = TestPlatform::new(1_000_000);
    for behaviour in [Behaviour::Answer, Behaviour::Shed, Behaviour::ServerError] {
        let router = Router::start(&format!("{behaviour:?}"), &platform.store);
        let target = &platform.plain[0];
        target.set_leaving(true);
        target.replace_behaviours(&[behaviour]);
        reach(&router, target, plain, &format!("{behaviour:?}"));
        assert_unused(&router, target, plain, &format!("{behaviour:?}"));
    }
    for behaviour in [Behaviour::Answer, Behaviour::BreakAfter(2)] {
        let router = Router::start(&format!("{behaviour:?}"), &platform.store);
        let target = &platform.engines[0];
        target.set_leaving(true);
        target.replace_behaviours(&[behaviour]);
        reach(&router, target, stream, &format!("{behaviour:?}"));
        assert_unused(&router, target, stream, &format!("{behaviour:?}"));
    }
}

#[test]
fn a_running_stream_of_a_target_that_leaves_completes() {
    let platform = TestPlatform::new(1_000_000);
    let router = Router::start("r", &platform.store);
    let target = &platform.engines[0];
    target.set_leaving(true);
    target.replace_behaviours(&[Behaviour::SlowStream(30); 2]);
    let long = reach_in_background(&router, target);
    assert_unused(&router, target, stream, "beside");
    assert_eq!(long.join().unwrap().unwrap().events(), [1, 2, 3, 4, 5]);
}

#[test]
fn requests_are_refused_at_once_when_all_targets_said_they_leave() {
    let platform = TestPlatform::new(1_000_000);
    let router = Router::start("r", &platform.store);
    for target in &platform.plain {
        target.set_leaving(true);
        reach(&router, target, plain, &target.entry_key());
    }
    let answer = router.send(&plain("refused")).unwrap();
    assert_eq!(answer.status, 503);
    assert!(answer.body.contains("no_target"), "{}", answer.body);
}

/// Guards against answers of others that take a target out of service.
#[test]
fn an_answer_that_is_not_the_targets_own_closes_it() {
    let platform = TestPlatform::new(1_000_000);
    let router = Router::start("r", &platform.store);
    let [target, other] = [&platform.plain[0], &platform.plain[1]];
    platform.store.remove(&other.entry_key());
    for behaviour in [Behaviour::WrongAttemptId, Behaviour::Misdirected] {
        target.set_leaving(true);
        target.replace_behaviours(&[behaviour]);
        reach(&router, target, plain, &format!("{behaviour:?}"));
        target.set_leaving(false);
        platform
            .store
            .put(&target.entry_key(), target.entry("plain", "ready"));
        reach(&router, target, plain, &format!("after{behaviour:?}"));
    }
}

#[test]
fn a_restarted_target_gets_requests_again() {
    let platform = TestPlatform::with_engines(1_000_000, 2);
    let router = Router::start("r", &platform.store);
    let target = &platform.engines[0];
    target.set_leaving(true);
    reach(&router, target, stream, "told");
    assert_unused(&router, target, stream, "told");
    target.crash();
    wait_for("a restart", || !target.is_down());
    platform.update_engine_entries();
    reach(&router, target, stream, "restarted");
}
