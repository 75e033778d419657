//! Harmless requests whose targets crash, or whose connections break, for another reason.

use std::thread::{JoinHandle, spawn};

use wisteriapass_bench::standin::users_platform::{Behaviour, SimulatedTarget};

use super::{
    COPIES, ENGINES, crashes, crashing_platform, model_request, routers, status, wait_until_served,
};
use crate::support::{Request, Router, exchange, wait_for};

/// Number of concurrent copies of each request at each router.
const CONCURRENT_COPIES: usize = 4;

/// Minimum number of targets that have to run copies of one request.
const MIN_BUSY_TARGETS: usize = 3;

/// Factor by which the streams in progress are slowed down.
const SLOWDOWN: u32 = 10;

/// Returns harmless requests of all kinds, which differ only in their ids from call to call.
fn harmless_requests(id: &str) -> [Request; 3] {
    let ask = Request::new(&format!("{id}-ask"), "/ask/x").with_tokens(20, 10);
    [
        Request::new(&format!("{id}-safe"), "/safe/x").with_body("same"),
        ask.with_body("same"),
        model_request(&format!("{id}-draft")).with_body("same"),
    ]
}

/// Sends each request on a separate thread and retries it with a new id until it is served.
fn send_until_served(router: &Router, id: &str) -> Vec<JoinHandle<()>> {
    let port = router.port();
    let send = |request: Request| {
        spawn(move || {
            let mut n = 0;
            wait_for("service", || {
                n += 1;
                let mut retry = request.clone();
                retry.id = format!("{}-{n}", request.id);
                status(exchange(port, &retry.text())) == 200
            });
        })
    };
    harmless_requests(id).map(send).into()
}

/// Sends harmless requests again and checks that all are served.
fn assert_harmless_are_served(routers: &[Router]) {
    for router in routers {
        for n in 0..COPIES {
            for request in harmless_requests(&format!("after-{n}-{}", router.port())) {
                assert_eq!(status(router.send(&request)), 200, "{}", request.path);
            }
        }
    }
}

// Requests in progress at targets that crash at the same time did not cause the crashes, no matter
// how many targets crash.
#[test]
fn a_simultaneous_crash_of_all_targets_quarantines_no_harmless_request() {
    let platform = crashing_platform();
    let routers = routers(&platform, ["a", "b"]);
    wait_until_served(&platform, &routers);
    for engine in &platform.engines {
        engine.push_behaviours(&[Behaviour::SlowStream(SLOWDOWN); CONCURRENT_COPIES]);
    }
    let mut in_progress = Vec::new();
    for router in &routers {
        for n in 0..CONCURRENT_COPIES {
            in_progress.extend(send_until_served(
                router,
                &format!("s{n}-{}", router.port()),
            ));
        }
    }
    wait_for("the same request at several targets", || {
        let is_busy = |t: &&SimulatedTarget| {
            t.received_requests()
                .iter()
                .any(|s| s.ran && s.body == "same")
        };
        platform.engines.iter().filter(is_busy).count() >= MIN_BUSY_TARGETS
    });
    platform.engines.iter().for_each(SimulatedTarget::crash);
    wait_until_served(&platform, &routers);
    for request in in_progress {
        request.join().unwrap();
    }
    assert_eq!(crashes(&platform), ENGINES as u32);
    platform
        .engines
        .iter()
        .for_each(SimulatedTarget::clear_behaviours);
    assert_harmless_are_served(&routers);
}

/// Number of times that the connection of each request breaks at each router.
const BREAKS: usize = 5;

// A broken connection does not make its request suspicious as long as the target keeps running.
#[test]
fn broken_connections_to_running_targets_quarantine_nothing() {
    let platform = crashing_platform();
    let routers = routers(&platform, ["a", "b"]);
    wait_until_served(&platform, &routers);
    for behaviour in [Behaviour::BreakAfter(0), Behaviour::CloseUnanswered] {
        for n in 0..BREAKS {
            for router in &routers {
                for request in harmless_requests(&format!("break-{n}-{}", router.port())) {
                    let targets = platform.engines.iter().chain(&platform.plain);
                    targets
                        .clone()
                        .for_each(|t| t.push_behaviours(&[behaviour]));
                    assert_ne!(status(router.send(&request)), 200, "{behaviour:?}");
                    targets.for_each(SimulatedTarget::clear_behaviours);
                }
            }
        }
    }
    assert_eq!(crashes(&platform), 0);
    wait_until_served(&platform, &routers);
    assert_harmless_are_served(&routers);
}
