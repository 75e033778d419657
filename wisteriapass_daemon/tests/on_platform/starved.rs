//! Routers that get too little processor time for their load.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{scope, sleep};
use std::time::Duration;

use nix::sys::signal::Signal;

use crate::support::{
    KEY, RELAYS, RelayFleet, Request, Router, TestPlatform, configuration, is_relay, wait_for,
};

/// Time for which a starved router runs, and time for which it is suspended after that.
const RUN_TIME: Duration = Duration::from_millis(4);
const SUSPENDED_TIME: Duration = Duration::from_millis(46);

/// Number of callers that each send one request after the other.
const CALLERS: usize = 128;

/// Number of configurations that are accepted one after the other.
const VERSIONS: u64 = 8;

/// Latency goal of urgent requests, in milliseconds.
const LATENCY_GOAL_MS: u64 = 300;

/// Number of refusals after which a router is known to refuse.
const ENOUGH_REFUSED: usize = 10;

/// Prepaid total that covers all requests of a test many times.
const PREPAID: u64 = 1_000_000;

/// Ends the threads of a test when it goes out of scope, also if the test fails.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Suspends a router most of the time, as a VM whose share of the processor is used up.
fn starve(router: &Router, is_done: &AtomicBool) {
    while !is_done.load(Ordering::Relaxed) {
        router.signal(Signal::SIGSTOP);
        sleep(SUSPENDED_TIME);
        router.signal(Signal::SIGCONT);
        sleep(RUN_TIME);
    }
}

/// Sends requests one after the other.
fn call_repeatedly(router: &Router, caller: usize, is_done: &AtomicBool) {
    for n in 0.. {
        if is_done.load(Ordering::Relaxed) {
            return;
        }
        router.send(&Request::new(&format!("c{caller}-{n}"), "/safe/x"));
    }
}

/// Returns whether a router has put a version in force.
fn has_version(router: &Router, version: u64) -> bool {
    let line = format!("Configuration in force. version={version} ");
    router.log().contains(&line)
}

/// Guards against a router that takes its own delay for the end of its relays, and replaces them.
#[test]
fn a_starved_router_takes_its_relays_for_dead_and_becomes_one() {
    let fleet = RelayFleet::start(PREPAID);
    let starved = &fleet.followers[0];
    let is_done = AtomicBool::new(false);
    scope(|threads| {
        let _stop = StopOnDrop(&is_done);
        threads.spawn(|| starve(starved, &is_done));
        for caller in 0..CALLERS {
            let is_done = &is_done;
            threads.spawn(move || call_repeatedly(starved, caller, is_done));
        }
        for version in 2..2 + VERSIONS {
            fleet
                .platform
                .configure(&configuration(version, &[KEY], PREPAID));
            wait_for("the configuration at the starved router", || {
                has_version(starved, version)
            });
        }
    });
    assert!(!is_relay(&fleet.platform.store, &format!("r{RELAYS}")));
    assert!(!starved.log().contains("No answer of a relay."));
}

/// Guards against a router that takes more requests than it can serve, and holds all of them beyond
/// their time.
#[test]
fn a_starved_router_holds_requests_that_it_cannot_serve_in_time() {
    let platform = TestPlatform::new(PREPAID);
    let mut urgent = configuration(2, &[KEY], PREPAID);
    for route in urgent["routes"].as_array_mut().unwrap() {
        route["target_latency_ms"] = LATENCY_GOAL_MS.into();
    }
    platform.configure(&urgent);
    let router = Router::start("r", &platform.store);
    let is_done = AtomicBool::new(false);
    let mut refused = Vec::new();
    scope(|threads| {
        let _stop = StopOnDrop(&is_done);
        threads.spawn(|| starve(&router, &is_done));
        for caller in 0..CALLERS {
            let (router, is_done) = (&router, &is_done);
            threads.spawn(move || call_repeatedly(router, caller, is_done));
        }
        let mut n = 0;
        wait_for("refused requests", || {
            n += 1;
            let id = format!("x{n}");
            let answer = router.send(&Request::new(&id, "/once/x"));
            if answer.is_some_and(|a| a.status == 503 && a.body.contains("overloaded")) {
                refused.push(id);
            }
            refused.len() >= ENOUGH_REFUSED
        });
    });
    let received = platform.plain.iter().flat_map(|t| t.received_requests());
    let ids: Vec<String> = received
        .map(|r| r.header("x-attempt-id").to_owned())
        .collect();
    assert!(refused.iter().all(|id| !ids.contains(id)));
}
