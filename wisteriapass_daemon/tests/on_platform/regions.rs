//! Requests whose route or account names the regions in which they may run.

use serde_json::{Value, json};

use crate::support::{KEY, Request, Router, Scene, configuration, wait_for};

/// A scene whose first plain target is in another region than the second.
fn two_regions() -> Scene {
    let scene = Scene::new(1_000_000);
    let target = &scene.plain[0];
    scene
        .store
        .put(&target.key(), target.entry_in("far", "plain", "ready", 0));
    scene
}

fn with_regions(of_route: Value, of_account: Value) -> Value {
    let mut next = configuration(9, &[KEY], 1_000_000);
    for route in next["routes"].as_array_mut().unwrap() {
        route["allowed_regions"] = of_route.clone();
    }
    next["tenants"][0]["allowed_regions"] = of_account;
    next
}

/// Returns how many of some requests each target got, and how many were refused.
fn play(scene: &Scene, router: &Router, name: &str) -> (usize, usize, usize) {
    let before = [0, 1].map(|n| scene.plain[n].seen().len());
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
    let got = [0, 1].map(|n| scene.plain[n].seen().len() - before[n]);
    (got[0], got[1], refused)
}

#[test]
fn requests_stay_in_the_regions_of_route_and_account() {
    for (of_route, of_account, far, near, refused) in [
        (json!(["there"]), json!(null), 20, 0, 0),
        (json!(null), json!(["here"]), 0, 20, 0),
        (json!(["here", "there"]), json!(["there"]), 20, 0, 0),
        (json!(["here"]), json!(["there"]), 0, 0, 20),
        (json!(["elsewhere"]), json!([]), 0, 0, 20),
    ] {
        let scene = two_regions();
        scene.configure(&with_regions(of_route, of_account));
        let router = Router::start("r", &scene.store);
        assert_eq!(play(&scene, &router, "r"), (far, near, refused));
    }
}

#[test]
fn a_change_of_regions_takes_effect() {
    let scene = two_regions();
    let router = Router::start("r", &scene.store);
    scene.configure(&with_regions(json!(["here"]), json!(null)));
    let mut n = 0;
    wait_for("nothing in the other region", || {
        n += 1;
        play(&scene, &router, &format!("c{n}-")).0 == 0
    });
}
