//! Sound requests whose targets end, or whose connections break, for another reason.

use std::thread::{JoinHandle, spawn};

use wisteriapass_bench::standin::users::{Behaviour, UsersTarget};

use super::{COPIES, ENGINES, crashes, draft, routers, scene, status, wait_until_calm};
use crate::support::{Request, Router, exchange, wait_for};

/// Copies of each request that are under way at each router.
const UNDER_WAY: usize = 4;

/// Targets that have to be at work on copies of one request.
const AT_WORK: usize = 3;

/// Time that a stream under way takes, as a multiple of the usual.
const SLOW: u32 = 10;

/// Sound requests of all kinds that may be lost, the same each time but for their ids.
fn sound(id: &str) -> [Request; 3] {
    let ask = Request::new(&format!("{id}-ask"), "/ask/x").with_tokens(20, 10);
    [
        Request::new(&format!("{id}-safe"), "/safe/x").with_body("same"),
        ask.with_body("same"),
        draft(&format!("{id}-draft")).with_body("same"),
    ]
}

/// Sends requests on threads of their own, each again under a new id until it is served.
fn serve_meanwhile(router: &Router, id: &str) -> Vec<JoinHandle<()>> {
    let port = router.port();
    let send = |request: Request| {
        spawn(move || {
            let mut n = 0;
            wait_for("service", || {
                n += 1;
                let mut again = request.clone();
                again.id = format!("{}-{n}", request.id);
                status(exchange(port, &again.text())) == 200
            });
        })
    };
    sound(id).map(send).into()
}

/// Sends sound requests again; all have to be served.
fn assert_sound_are_served(routers: &[Router]) {
    for router in routers {
        for n in 0..COPIES {
            for request in sound(&format!("after-{n}-{}", router.port())) {
                assert_eq!(status(router.send(&request)), 200, "{}", request.path);
            }
        }
    }
}

// Requests under way at targets that end together did not end them, however many those are.
#[test]
fn targets_that_all_end_at_once_ban_no_sound_request() {
    let scene = scene();
    let routers = routers(&scene, ["a", "b"]);
    wait_until_calm(&scene, &routers);
    for engine in &scene.engines {
        engine.will(&[Behaviour::Slow(SLOW); UNDER_WAY]);
    }
    let mut under_way = Vec::new();
    for router in &routers {
        for n in 0..UNDER_WAY {
            under_way.extend(serve_meanwhile(router, &format!("s{n}-{}", router.port())));
        }
    }
    wait_for("the same request at several targets", || {
        let at_work = |t: &&UsersTarget| t.seen().iter().any(|s| s.ran && s.body == "same");
        scene.engines.iter().filter(at_work).count() >= AT_WORK
    });
    scene.engines.iter().for_each(UsersTarget::crash);
    wait_until_calm(&scene, &routers);
    for sent in under_way {
        sent.join().unwrap();
    }
    assert_eq!(crashes(&scene), ENGINES as u32);
    scene.engines.iter().for_each(UsersTarget::behave);
    assert_sound_are_served(&routers);
}

/// Times that the connections of one request break at each router.
const BREAKS: usize = 5;

// A connection that breaks says nothing of its request as long as the target stays up.
#[test]
fn broken_connections_of_targets_that_stay_up_ban_nothing() {
    let scene = scene();
    let routers = routers(&scene, ["a", "b"]);
    wait_until_calm(&scene, &routers);
    for wrong in [Behaviour::BreakAfter(0), Behaviour::Lose] {
        for n in 0..BREAKS {
            for router in &routers {
                for request in sound(&format!("break-{n}-{}", router.port())) {
                    let targets = scene.engines.iter().chain(&scene.plain);
                    targets.clone().for_each(|t| t.will(&[wrong]));
                    assert_ne!(status(router.send(&request)), 200, "{wrong:?}");
                    targets.for_each(UsersTarget::behave);
                }
            }
        }
    }
    assert_eq!(crashes(&scene), 0);
    wait_until_calm(&scene, &routers);
    assert_sound_are_served(&routers);
}
