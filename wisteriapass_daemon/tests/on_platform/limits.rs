//! Targets that name a limit receive no more, over all routers.

use std::thread::sleep;
use std::time::{Duration, Instant};

use wisteriapass_bench::standin::users_platform::SimulatedTarget;

use crate::support::{Request, Router, TestPlatform, wait_for};

/// Limit that targets name, in requests per second.
const LIMIT: &str = "1.5";

/// Most requests that such a target may receive within [`WINDOW`]: one and a half times what the
/// limit allows, and five.
const MOST_IN_WINDOW: usize = 14;

/// Window of that bound.
const WINDOW: Duration = Duration::from_secs(4);

/// Time after its first such answer from which a router is bound by a limit.
const BOUND_AFTER: Duration = Duration::from_millis(500);

/// Sends a request; returns its status.
fn send(router: &Router, id: &str) -> u16 {
    let answer = router.send(&Request::new(id, "/safe/x"));
    answer.map_or(0, |answer| answer.status)
}

/// Sends requests by each router until each has received the limits of all `targets`.
fn announce_limits(routers: &[Router], targets: &[&SimulatedTarget]) {
    targets.iter().for_each(|t| t.set_limit(Some(LIMIT)));
    for (target, router) in targets
        .iter()
        .flat_map(|t| routers.iter().map(move |r| (t, r)))
    {
        let before = target.received_requests().len();
        let mut n = 0;
        wait_for("a request at the limited target", || {
            n += 1;
            send(router, &format!("t{}-{n}", router.port()));
            target.received_requests().len() > before
        });
    }
    sleep(BOUND_AFTER);
}

/// Returns the highest number of requests that arrived within the window since `from`.
fn most_in_window(target: &SimulatedTarget, from: Instant) -> usize {
    let requests = target.received_requests();
    let arrivals: Vec<Instant> = requests.iter().filter_map(|r| r.arrived).collect();
    let arrivals: Vec<Instant> = arrivals.into_iter().filter(|at| *at >= from).collect();
    let within = |first: &Instant| {
        let window = arrivals.iter().filter(|at| *at >= first);
        window.filter(|at| **at < *first + WINDOW).count()
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}

/// Guards against targets that receive more than they named a limit for.
#[test]
fn a_target_that_names_a_limit_receives_no_more_over_all_routers() {
    let platform = TestPlatform::new(1_000_000);
    let routers = ["a", "b", "c"].map(|name| Router::start(name, &platform.store));
    let limited = &platform.plain[0];
    announce_limits(&routers, &[limited]);
    let from = Instant::now();
    let mut n = 0;
    while from.elapsed() < 2 * WINDOW {
        n += 1;
        let status = send(&routers[n % routers.len()], &format!("l{n}"));
        assert_eq!(status, 200, "the other target takes what is over the limit");
    }
    let most = most_in_window(limited, from);
    assert!((1..=MOST_IN_WINDOW).contains(&most), "{most} of {n}");
}

#[test]
fn excess_requests_are_refused_at_once_while_all_targets_name_limits() {
    let platform = TestPlatform::new(1_000_000);
    let routers = [Router::start("a", &platform.store)];
    let targets: Vec<&SimulatedTarget> = platform.plain.iter().collect();
    announce_limits(&routers, &targets);
    let from = Instant::now();
    let mut n = 0;
    wait_for("a refusal", || {
        n += 1;
        let answer = routers[0].send(&Request::new(&format!("f{n}"), "/safe/x"));
        answer.is_some_and(|a| {
            a.status == 503 && a.body.contains("limited") && a.head.contains("retry-after")
        })
    });
    for target in &targets {
        let most = most_in_window(target, from);
        assert!(most <= MOST_IN_WINDOW, "{most} of {n}");
        target.set_limit(None);
    }
    wait_for("service without limits", || {
        n += 1;
        (0..4 * MOST_IN_WINDOW).all(|i| send(&routers[0], &format!("u{n}-{i}")) == 200)
    });
}
