//! Histories that the store takes longer to compile than a router waits for the first byte, as after
//! an outage.
//!
//! The router requested such a history over and over, while a read of the targets would have been
//! answered at once, so requests went on to a target that had left.

use wisteriapass_bench::standin::users_platform::StoreFault;

use super::{ENOUGH_REQUESTS, wait_until_excluded};
use crate::support::{Request, Router, TestPlatform, wait_for};

#[test]
fn a_leaving_target_is_seen_when_the_history_arrives_too_late() {
    let platform = TestPlatform::new(10_000);
    let router = Router::start("r", &platform.store);
    let target = &platform.plain[0];
    platform.store.set_fault(StoreFault::SlowHistory);
    let leaving = target.entry("plain", "draining");
    platform.store.put(&target.entry_key(), leaving);
    wait_until_excluded(&router, target);
}

#[test]
fn an_earlier_state_does_not_bring_back_a_target_that_left() {
    let platform = TestPlatform::new(10_000);
    let router = Router::start("r", &platform.store);
    let target = &platform.plain[0];
    platform.store.freeze_range_reads();
    let leaving = target.entry("plain", "draining");
    platform.store.put(&target.entry_key(), leaving);
    wait_until_excluded(&router, target);
    platform.store.set_fault(StoreFault::SlowHistory);
    platform.store.put("servers/another", "{}");
    let before = router.answered_calls("read");
    wait_for("a read of the state", || {
        router.answered_calls("read") > before
    });
    let received = target.received_requests().len();
    for n in 0..ENOUGH_REQUESTS {
        router.send(&Request::new(&format!("s{n}"), "/safe/x"));
    }
    assert_eq!(target.received_requests().len(), received);
}
