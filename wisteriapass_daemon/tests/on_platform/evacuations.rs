//! Evacuated failure domains get no new requests, no matter how a router learns of the evacuation.

use std::time::Duration;

use wisteriapass_bench::standin::users_platform::{Behaviour, StoreFault};

use crate::support::{Request, Router, TestPlatform, wait_for};

/// Store key that evacuates the domain `north`.
const EVACUATION_KEY: &str = "op/evacuate/north";

/// Number of requests of which each of two targets in use receives at least one.
const ENOUGH_REQUESTS: usize = 30;

/// Time after a change by which each connected router knows of it; not a limit of the product.
const PROPAGATION: Duration = Duration::from_millis(2_500);

/// Creates a platform with a plain target and an engine in each of two domains, neither of which is
/// the router's domain.
fn platform_with_two_domains() -> TestPlatform {
    let platform = TestPlatform::new(1_000_000);
    for (n, domain) in ["north", "south"].into_iter().enumerate() {
        let (plain, engine) = (&platform.plain[n], &platform.engines[n]);
        let put = |key: String, entry: String| platform.store.put(&key, entry);
        put(
            plain.entry_key(),
            plain.entry_in_domain(domain, "plain", "ready", 0),
        );
        put(
            engine.entry_key(),
            engine.entry_in_domain(domain, "engines", "ready", 0),
        );
    }
    platform
}

fn send_requests(router: &Router, name: &str) {
    for n in 0..ENOUGH_REQUESTS {
        let answer = router.send(&Request::new(&format!("{name}{n}"), "/safe/x"));
        assert_eq!(answer.unwrap().status, 200);
    }
}

/// Sends requests until the plain target in the domain `north` receives none of many.
fn wait_until_unused(platform: &TestPlatform, router: &Router, name: &str) {
    let mut n = 0;
    wait_for("no requests in the evacuated domain", || {
        n += 1;
        let before = platform.plain[0].received_requests().len();
        send_requests(router, &format!("{name}{n}-"));
        platform.plain[0].received_requests().len() == before
    });
}

/// Sends requests until the plain target in the domain `north` receives one.
fn wait_until_used(platform: &TestPlatform, router: &Router, name: &str) {
    let mut n = 0;
    let before = platform.plain[0].received_requests().len();
    wait_for("a request in the domain `north`", || {
        n += 1;
        router.send(&Request::new(&format!("{name}{n}"), "/safe/x"));
        platform.plain[0].received_requests().len() > before
    });
}

#[test]
fn an_evacuated_domain_gets_no_new_requests_until_it_is_restored() {
    let platform = platform_with_two_domains();
    let router = Router::start("r", &platform.store);
    wait_until_used(&platform, &router, "a");
    for round in 0..2 {
        platform.store.put(EVACUATION_KEY, "{}");
        wait_until_unused(&platform, &router, &format!("l{round}-"));
        platform.store.remove(EVACUATION_KEY);
        wait_until_used(&platform, &router, &format!("b{round}-"));
    }
    assert!(router.metrics().contains("wisteriapass_evacuations_total"));
}

#[test]
fn a_starting_router_knows_of_an_evacuation() {
    let platform = platform_with_two_domains();
    platform.store.put(EVACUATION_KEY, "{}");
    let router = Router::start("r", &platform.store);
    let before = platform.plain[0].received_requests().len();
    send_requests(&router, "s");
    assert_eq!(platform.plain[0].received_requests().len(), before);
}

#[test]
fn evacuations_are_seen_after_the_history_was_compacted() {
    let platform = platform_with_two_domains();
    let router = Router::start("r", &platform.store);
    wait_until_used(&platform, &router, "a");
    platform.store.set_fault(StoreFault::Silent);
    platform.store.put(EVACUATION_KEY, "{}");
    platform.store.compact();
    platform.store.set_fault(StoreFault::None);
    wait_until_unused(&platform, &router, "l");
    platform.store.remove(EVACUATION_KEY);
    platform.store.compact();
    wait_until_used(&platform, &router, "b");
}

#[test]
fn streams_in_an_evacuated_domain_complete_and_no_retry_goes_there() {
    let platform = platform_with_two_domains();
    let router = Router::start("r", &platform.store);
    platform.engines[0].push_behaviours(&[Behaviour::SlowStream(40)]);
    platform.engines[1].push_behaviours(&[Behaviour::QueueTimeout; 200]);
    let port = router.port();
    let stream = std::thread::spawn(move || {
        let mut n = 0;
        // Sooner or later the engine in the domain `north` receives one of these requests.
        loop {
            n += 1;
            let request = Request::new(&format!("s{n}"), "/ask/x")
                .with_tokens(100, 10)
                .with_remaining(5_000);
            let answer = crate::support::exchange(port, &request.text());
            if let Some(answer) = answer.filter(|a| a.status == 200) {
                return answer.events();
            }
        }
    });
    wait_for("a stream in the domain", || {
        !platform.engines[0].received_requests().is_empty()
    });
    platform.store.put(EVACUATION_KEY, "{}");
    std::thread::sleep(PROPAGATION);
    platform.engines[1].clear_behaviours();
    let before = platform.engines[0].received_requests().len();
    platform.engines[1].push_behaviours(&[Behaviour::BreakAfter(2); 3]);
    for n in 0..3 {
        let request = Request::new(&format!("r{n}"), "/ask/x").with_tokens(100, 10);
        router.send(&request);
    }
    assert_eq!(platform.engines[0].received_requests().len(), before);
    assert_eq!(stream.join().unwrap(), [1, 2, 3, 4, 5]);
}

#[test]
fn requests_are_refused_at_once_when_all_targets_are_evacuated() {
    let platform = platform_with_two_domains();
    let router = Router::start("r", &platform.store);
    platform.store.put(EVACUATION_KEY, "{}");
    platform.store.put("op/evacuate/south", "{}");
    let mut n = 0;
    wait_for("a refusal", || {
        n += 1;
        let answer = router.send(&Request::new(&format!("r{n}"), "/safe/x"));
        answer.is_some_and(|a| a.status == 503 && a.body.contains("no_target"))
    });
    platform.store.remove("op/evacuate/south");
    wait_for("service", || {
        n += 1;
        let answer = router.send(&Request::new(&format!("r{n}"), "/safe/x"));
        answer.is_some_and(|a| a.status == 200)
    });
}
