//! Requests whose route or account restricts the regions in which they may run.

use serde_json::{Value, json};

use crate::support::{KEY, Request, Router, TestPlatform, configuration, wait_for};

/// Creates a platform whose first plain target is in another region than the second.
fn platform_with_two_regions() -> TestPlatform {
    let platform = TestPlatform::new(1_000_000);
    let target = &platform.plain[0];
    platform.store.put(
        &target.entry_key(),
        target.entry_in_domain("far", "plain", "ready", 0),
    );
    platform
}

fn configuration_with_regions(route_regions: Value, account_regions: Value) -> Value {
    let mut next = configuration(9, &[KEY], 1_000_000);
    for route in next["routes"].as_array_mut().unwrap() {
        route["allowed_regions"] = route_regions.clone();
    }
    next["tenants"][0]["allowed_regions"] = account_regions;
    next
}

/// Sends 20 requests; returns how many each target received, and how many were refused.
fn send_requests(platform: &TestPlatform, router: &Router, name: &str) -> (usize, usize, usize) {
    let before = [0, 1].map(|n| platform.plain[n].received_requests().len());
    let mut refused = 0;
    for n in 0..20 {
        let answer = router.send(&Request::new(&format!("{name}{n}"), "/safe/x"));
        let answer = answer.unwrap();
        if answer.status == 503 {
            assert!(answer.body.contains("no_region"));
            assert!(!answer.head.contains("retry-after"));
            refused += 1;
        }
    }
    let received = [0, 1].map(|n| platform.plain[n].received_requests().len() - before[n]);
    (received[0], received[1], refused)
}

#[test]
fn requests_run_only_in_the_allowed_regions_of_route_and_account() {
    for (route_regions, account_regions, far, near, refused) in [
        (json!(["there"]), json!(null), 20, 0, 0),
        (json!(null), json!(["here"]), 0, 20, 0),
        (json!(["here", "there"]), json!(["there"]), 20, 0, 0),
        (json!(["here"]), json!(["there"]), 0, 0, 20),
        (json!(["elsewhere"]), json!([]), 0, 0, 20),
    ] {
        let platform = platform_with_two_regions();
        platform.configure(&configuration_with_regions(route_regions, account_regions));
        let router = Router::start("r", &platform.store);
        assert_eq!(send_requests(&platform, &router, "r"), (far, near, refused));
    }
}

#[test]
fn a_change_of_regions_takes_effect() {
    let platform = platform_with_two_regions();
    let router = Router::start("r", &platform.store);
    platform.configure(&configuration_with_regions(json!(["here"]), json!(null)));
    let mut n = 0;
    wait_for("no requests in the other region", || {
        n += 1;
        send_requests(&platform, &router, &format!("c{n}-")).0 == 0
    });
}
