//! Cold targets: they get no more than they bear, and they do get something.

use serde_json::json;

use crate::support::{KEY, Request, Router, Scene, configuration, wait_for};

/// Requests a second that a cold target bears, with what the bounds allow beyond.
const BEARS: usize = 29;

/// Time for which targets say that they stay cold, longer than the test takes.
const COLD_MS: u64 = 50_000;

fn cold_scene(cold: &[usize]) -> Scene {
    let scene = Scene::new(1_000_000);
    for target in cold.iter().map(|n| &scene.plain[*n]) {
        let entry = target.entry_in("z", "plain", "ready", COLD_MS);
        scene.store.put(&target.key(), entry);
    }
    let mut next = configuration(9, &[KEY], 1_000_000);
    next["services"][0]["cold_start_s"] = json!(3.0);
    next["services"][0]["cold_per_s"] = json!(16.0);
    scene.configure(&next);
    scene
}

#[test]
fn a_cold_target_gets_some_requests_and_the_others_go_elsewhere() {
    let scene = cold_scene(&[0]);
    let router = Router::start("r", &scene.store);
    for n in 0..2 * BEARS {
        let answer = router.send(&Request::new(&format!("c{n}"), "/safe/x"));
        assert_eq!(answer.unwrap().status, 200);
    }
    let got = scene.plain[0].seen().len();
    assert!(got > 0 && got <= BEARS, "{got}");
}

#[test]
fn where_all_targets_are_cold_what_they_do_not_bear_is_refused_at_once() {
    let scene = cold_scene(&[0, 1]);
    let router = Router::start("r", &scene.store);
    let mut n = 0;
    wait_for("a refusal", || {
        n += 1;
        let answer = router.send(&Request::new(&format!("c{n}"), "/safe/x"));
        answer.is_some_and(|a| a.status == 503 && a.body.contains("cold"))
    });
    for target in &scene.plain {
        assert!((1..=BEARS).contains(&target.seen().len()));
        scene
            .store
            .put(&target.key(), target.entry("plain", "ready"));
    }
    wait_for("service by targets that are warm", || {
        (0..2 * BEARS).all(|_| {
            n += 1;
            let answer = router.send(&Request::new(&format!("c{n}"), "/safe/x"));
            answer.is_some_and(|a| a.status == 200)
        })
    });
}
