//! Failure domains that are evacuated: nothing new goes there, by whichever way a router hears of it.

use std::time::Duration;

use wisteriapass_bench::standin::users::{Behaviour, StoreFault};

use crate::support::{Request, Router, Scene, wait_for};

/// Key by which a domain is evacuated.
const NORTH: &str = "op/evacuate/north";

/// Requests of which each of two targets in use gets some.
const MANY: usize = 30;

/// Time behind a change at which each router in touch knows of it; no bound of the product.
const KNOWN: Duration = Duration::from_millis(2_500);

/// A scene with a plain target and an engine in each of two domains, neither the router's.
fn two_domains() -> Scene {
    let scene = Scene::new(1_000_000);
    for (n, domain) in ["north", "south"].into_iter().enumerate() {
        let (plain, engine) = (&scene.plain[n], &scene.engines[n]);
        let put = |key: String, entry: String| scene.store.put(&key, entry);
        put(plain.key(), plain.entry_in(domain, "plain", "ready", 0));
        put(engine.key(), engine.entry_in(domain, "engines", "ready", 0));
    }
    scene
}

fn send_many(router: &Router, name: &str) {
    for n in 0..MANY {
        let answer = router.send(&Request::new(&format!("{name}{n}"), "/safe/x"));
        assert_eq!(answer.unwrap().status, 200);
    }
}

/// Sends requests until the target in the north got none of many.
fn wait_until_left(scene: &Scene, router: &Router, name: &str) {
    let mut n = 0;
    wait_for("no work in the domain", || {
        n += 1;
        let before = scene.plain[0].seen().len();
        send_many(router, &format!("{name}{n}-"));
        scene.plain[0].seen().len() == before
    });
}

/// Sends requests until the target in the north got one.
fn wait_until_back(scene: &Scene, router: &Router, name: &str) {
    let mut n = 0;
    let before = scene.plain[0].seen().len();
    wait_for("work in the domain that is back", || {
        n += 1;
        router.send(&Request::new(&format!("{name}{n}"), "/safe/x"));
        scene.plain[0].seen().len() > before
    });
}

#[test]
fn an_evacuated_domain_gets_nothing_new_until_it_is_taken_back() {
    let scene = two_domains();
    let router = Router::start("r", &scene.store);
    wait_until_back(&scene, &router, "a");
    for round in 0..2 {
        scene.store.put(NORTH, "{}");
        wait_until_left(&scene, &router, &format!("l{round}-"));
        scene.store.remove(NORTH);
        wait_until_back(&scene, &router, &format!("b{round}-"));
    }
    assert!(router.metrics().contains("wisteriapass_evacuations_total"));
}

#[test]
fn a_router_that_starts_knows_of_an_evacuation() {
    let scene = two_domains();
    scene.store.put(NORTH, "{}");
    let router = Router::start("r", &scene.store);
    let before = scene.plain[0].seen().len();
    send_many(&router, "s");
    assert_eq!(scene.plain[0].seen().len(), before);
}

#[test]
fn a_history_that_is_gone_hides_no_evacuation() {
    let scene = two_domains();
    let router = Router::start("r", &scene.store);
    wait_until_back(&scene, &router, "a");
    scene.store.set_fault(StoreFault::Silent);
    scene.store.put(NORTH, "{}");
    scene.store.compact();
    scene.store.set_fault(StoreFault::None);
    wait_until_left(&scene, &router, "l");
    scene.store.remove(NORTH);
    scene.store.compact();
    wait_until_back(&scene, &router, "b");
}

#[test]
fn streams_in_an_evacuated_domain_end_well_and_no_repeat_goes_there() {
    let scene = two_domains();
    let router = Router::start("r", &scene.store);
    scene.engines[0].will(&[Behaviour::Slow(40)]);
    scene.engines[1].will(&[Behaviour::Queue; 200]);
    let port = router.port();
    let stream = std::thread::spawn(move || {
        let mut n = 0;
        // Whichever engine it comes to first, the one in the north takes one of these.
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
        !scene.engines[0].seen().is_empty()
    });
    scene.store.put(NORTH, "{}");
    std::thread::sleep(KNOWN);
    scene.engines[1].behave();
    let before = scene.engines[0].seen().len();
    scene.engines[1].will(&[Behaviour::BreakAfter(2); 3]);
    for n in 0..3 {
        let request = Request::new(&format!("r{n}"), "/ask/x").with_tokens(100, 10);
        router.send(&request);
    }
    assert_eq!(scene.engines[0].seen().len(), before);
    assert_eq!(stream.join().unwrap(), [1, 2, 3, 4, 5]);
}

#[test]
fn where_all_targets_are_evacuated_a_request_is_refused_at_once() {
    let scene = two_domains();
    let router = Router::start("r", &scene.store);
    scene.store.put(NORTH, "{}");
    scene.store.put("op/evacuate/south", "{}");
    let mut n = 0;
    wait_for("a refusal", || {
        n += 1;
        let answer = router.send(&Request::new(&format!("r{n}"), "/safe/x"));
        answer.is_some_and(|a| a.status == 503 && a.body.contains("no_target"))
    });
    scene.store.remove("op/evacuate/south");
    wait_for("service", || {
        n += 1;
        let answer = router.send(&Request::new(&format!("r{n}"), "/safe/x"));
        answer.is_some_and(|a| a.status == 200)
    });
}
