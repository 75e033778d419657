//! Stops: what a stopping router takes ends with a whole answer or a true refusal.

use std::time::Duration;

use nix::sys::signal::Signal;
use wisteriapass_bench::standin::users::{Behaviour, UsersTarget};

use crate::support::{Answer, Request, Router, Scene, exchange, wait_for};

/// Time behind a stop after which the balancer knows of it; no bound of the product.
const AFTER_LINGER: Duration = Duration::from_millis(2_600);

/// Stops a router that still works, and sends it a request behind that, while targets do what they
/// are told; returns what the caller got.
fn answer_of_a_late_request(
    scene: &Scene,
    targets: &[UsersTarget],
    does: Behaviour,
    late: &Request,
) -> Option<Answer> {
    let mut router = Router::start("r", &scene.store);
    for target in &scene.engines {
        target.will(&[Behaviour::Slow(45)]);
    }
    let port = router.port();
    let long = std::thread::spawn(move || {
        let request = Request::new("long", "/draft/x").with_tokens(100, 10);
        exchange(port, &request.text())
    });
    let begun = || scene.engines.iter().any(|t| !t.seen().is_empty());
    wait_for("a stream", begun);
    for target in targets {
        target.will_only(&[does; 4]);
    }
    router.signal(Signal::SIGTERM);
    std::thread::sleep(AFTER_LINGER);
    let answer = router.send(late);
    assert_eq!(long.join().unwrap().unwrap().events(), [1, 2, 3, 4, 5]);
    router.wait();
    answer
}

// It waited for a slot at its target until its router ended, and its connection was closed.
#[test]
fn a_stream_taken_late_that_waits_at_its_target_is_refused_before_the_router_ends() {
    let scene = Scene::new(10_000);
    let late = Request::new("late", "/draft/x").with_tokens(100, 10);
    let answer = answer_of_a_late_request(&scene, &scene.engines, Behaviour::Queue, &late);
    assert_eq!(answer.map(|a| a.status), Some(503));
    let ran = |t: &UsersTarget| {
        t.seen()
            .iter()
            .any(|s| s.ran && s.header("x-attempt-id") == "late")
    };
    assert!(!scene.engines.iter().any(ran));
}

// Its target fell silent behind the promise to end in time, and its connection was closed.
#[test]
fn a_request_taken_late_whose_target_hangs_is_answered_before_the_router_ends() {
    let scene = Scene::new(10_000);
    let late = Request::new("late", "/once/x");
    let answer = answer_of_a_late_request(&scene, &scene.plain, Behaviour::Hang, &late);
    assert!(answer.is_some_and(|a| [502, 504].contains(&a.status)));
    assert_eq!(scene.plain_runs(), 1);
}

// Its target sent a stream's head and no event, and its connection was closed behind the head.
#[test]
fn a_stream_taken_late_that_never_begins_is_answered_before_the_router_ends() {
    let scene = Scene::new(10_000);
    let late = Request::new("late", "/draft/x").with_tokens(100, 10);
    let answer = answer_of_a_late_request(&scene, &scene.engines, Behaviour::Stall(0), &late);
    assert_eq!(answer.map(|a| a.status), Some(502));
}

// Its target went on beyond the time that it was told.
#[test]
fn a_target_that_does_not_end_in_time_is_answered_for() {
    let scene = Scene::new(10_000);
    let late = Request::new("late", "/once/x").with_remaining(60_000);
    let answer = answer_of_a_late_request(&scene, &scene.plain, Behaviour::Stall(0), &late);
    assert_eq!(answer.map(|a| a.status), Some(502));
}

// It waited behind others that could wait, and was cut.
#[test]
fn a_stream_taken_late_goes_first_at_its_target() {
    let scene = Scene::new(10_000);
    let late = Request::new("late", "/draft/x").with_tokens(100, 10);
    answer_of_a_late_request(&scene, &scene.engines, Behaviour::Answer, &late);
    let seen: Vec<_> = scene.engines.iter().flat_map(|t| t.seen()).collect();
    let rank = |id: &str| {
        let of = seen.iter().find(|s| s.header("x-attempt-id") == id);
        of.map(|s| s.header("x-request-priority").to_owned())
    };
    assert_eq!(rank("long").as_deref(), Some("1"));
    assert_eq!(rank("late").as_deref(), Some("0"));
}

// A stop told no target, so work went on there that nobody could get.
#[test]
fn targets_are_told_when_a_stopping_router_ends() {
    let scene = Scene::new(10_000);
    let late = Request::new("late", "/safe/x").with_remaining(60_000);
    answer_of_a_late_request(&scene, &scene.plain, Behaviour::Answer, &late);
    let seen = scene.plain.iter().flat_map(|t| t.seen());
    let told: Vec<u64> = seen
        .filter_map(|s| s.header("x-deadline-remaining").parse().ok())
        .collect();
    // 8 s from the signal to the kill, of which 2.6 s are over and 0.35 s are kept.
    assert!(matches!(told[..], [ms] if ms <= 5_050), "{told:?}");
}
