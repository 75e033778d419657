//! Cold targets receive some requests, but not more than their limit.

use serde_json::json;

use crate::support::{KEY, Request, Router, TestPlatform, configuration, wait_for};

/// Limit of requests per second at a cold target, including the configured overshoot and slack.
const COLD_LIMIT: usize = 29;

/// Time for which targets announce to stay cold, in milliseconds; longer than the test takes.
const COLD_MS: u64 = 50_000;

fn platform_with_cold_targets(cold: &[usize]) -> TestPlatform {
    let platform = TestPlatform::new(1_000_000);
    for target in cold.iter().map(|n| &platform.plain[*n]) {
        let entry = target.entry_in_domain("z", "plain", "ready", COLD_MS);
        platform.store.put(&target.entry_key(), entry);
    }
    let mut next = configuration(9, &[KEY], 1_000_000);
    next["services"][0]["cold_start_s"] = json!(3.0);
    next["services"][0]["cold_per_s"] = json!(16.0);
    platform.configure(&next);
    platform
}

#[test]
fn a_cold_target_receives_some_requests_and_the_others_go_elsewhere() {
    let platform = platform_with_cold_targets(&[0]);
    let router = Router::start("r", &platform.store);
    for n in 0..2 * COLD_LIMIT {
        let answer = router.send(&Request::new(&format!("c{n}"), "/safe/x"));
        assert_eq!(answer.unwrap().status, 200);
    }
    let received = platform.plain[0].received_requests().len();
    assert!(received > 0 && received <= COLD_LIMIT, "{received}");
}

#[test]
fn excess_requests_are_refused_at_once_when_all_targets_are_cold() {
    let platform = platform_with_cold_targets(&[0, 1]);
    let router = Router::start("r", &platform.store);
    let mut n = 0;
    wait_for("a refusal", || {
        n += 1;
        let answer = router.send(&Request::new(&format!("c{n}"), "/safe/x"));
        answer.is_some_and(|a| a.status == 503 && a.body.contains("cold"))
    });
    for target in &platform.plain {
        let received = target.received_requests().len();
        assert!((1..=COLD_LIMIT).contains(&received), "{received} of {n}");
        platform
            .store
            .put(&target.entry_key(), target.entry("plain", "ready"));
    }
    wait_for("service by warm targets", || {
        (0..2 * COLD_LIMIT).all(|_| {
            n += 1;
            let answer = router.send(&Request::new(&format!("c{n}"), "/safe/x"));
            answer.is_some_and(|a| a.status == 200)
        })
    });
}
