//! Relays that give up their role and take it up again.

use nix::sys::signal::Signal;

use crate::support::{RELAYS, Request, Router, TestPlatform, is_relay, wait_for};

/// Prompt and maximum output tokens of each request.
const PROMPT: u64 = 90;
const OUTPUT: u64 = 10;

/// Prepaid total that covers all requests of a test many times.
const PREPAID: u64 = 1_000_000;

/// Number of requests to the router that became a relay again.
const REQUESTS: usize = 40;

/// Sends one model request; returns its status, or 0 without a complete answer.
fn spend(router: &Router, id: &str) -> u16 {
    let request = Request::new(id, "/draft/x").with_tokens(PROMPT, OUTPUT);
    router.send(&request).map_or(0, |a| a.status)
}

/// Starts one relay more than the fleet needs, and waits until one of the others retires; returns the
/// routers and the position of the retired one.
fn start_surplus(platform: &TestPlatform) -> (Vec<Router>, usize) {
    let store = &platform.store;
    let name = |n: usize| format!("r{n}");
    let start = |n: usize| Router::start_with_store(&name(n), store.addr());
    let mut routers: Vec<Router> = (0..RELAYS).map(start).collect();
    wait_for("all routers of a small fleet as relays", || {
        (0..RELAYS).all(|n| is_relay(store, &name(n)))
    });
    routers.push(Router::start_in_domain(
        &name(RELAYS),
        store.addr(),
        "north",
    ));
    wait_for("a relay of the new failure domain", || {
        is_relay(store, &name(RELAYS))
    });
    let mut retired = None;
    wait_for("the retirement of a surplus relay", || {
        retired = (0..RELAYS).find(|n| !is_relay(store, &name(*n)));
        retired.is_some()
    });
    (routers, retired.unwrap())
}

/// Guards against a relay that gave up its role and takes it up again without the prepaid totals, and
/// refuses every request as if its account had spent them.
#[test]
fn a_relay_that_retired_and_joined_again_refuses_requests_that_the_total_covers() {
    let platform = TestPlatform::new(PREPAID);
    let (mut routers, retired) = start_surplus(&platform);
    let leaving = (0..RELAYS).find(|n| *n != retired).unwrap();
    routers[leaving].signal(Signal::SIGTERM);
    routers[leaving].wait();
    let router = &routers[retired];
    wait_for("the retired relay as a relay again", || {
        is_relay(&platform.store, &format!("r{retired}"))
    });
    let statuses: Vec<u16> = (0..REQUESTS)
        .map(|n| spend(router, &format!("again-{n}")))
        .collect();
    assert_eq!(statuses, [200; REQUESTS]);
}
