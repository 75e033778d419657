//! Targets that state in their answers that they leave get no new requests.

use std::thread::sleep;
use std::time::Duration;

use wisteriapass_bench::standin::users_platform::{Behaviour, SimulatedTarget, StoreFault};

use crate::support::{Request, Router, TestPlatform, wait_for};

/// Number of requests of which each of two targets in use receives at least one.
const ENOUGH_REQUESTS: usize = 40;

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

/// Sends requests until a target has received one more, which answers as set.
fn reach(router: &Router, target: &SimulatedTarget, request: fn(&str) -> Request, series: &str) {
    let before = target.received_requests().len();
    let mut n = 0;
    wait_for("a request at the target", || {
        n += 1;
        router.send(&request(&format!("{series}-reach{n}")));
        target.received_requests().len() > before
    });
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
