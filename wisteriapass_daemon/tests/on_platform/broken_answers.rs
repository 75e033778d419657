//! Answers that break off although their connection or their body ends in order.

use wisteriapass_bench::standin::users_platform::{
    Behaviour, BreakOff, BreakPoint, Framing, SimulatedTarget,
};

use crate::support::breaks::{
    Fate, assert_outcome_unknown, assert_whole, assert_whole_until_run, plain,
    platform_with_retries, run_count, stream, whole_stream,
};
use crate::support::{Answer, Request, Router, TestPlatform, exchange, wait_for};

/// Ways in which a stream ends in order although its last event is not whole.
const INSIDE_EVENT: [(Fate, Framing); 3] = [
    (Fate::Lives, Framing::Unframed),
    (Fate::Crashes, Framing::Unframed),
    (Fate::Lives, Framing::Ended),
];

fn inside_event(after: u64, framing: Framing) -> BreakOff {
    BreakOff {
        framing,
        ..BreakOff::after(after)
    }
}

fn between_events(after: u64) -> BreakOff {
    BreakOff {
        at: BreakPoint::BetweenEvents,
        ..inside_event(after, Framing::Unframed)
    }
}

fn draft(id: &str) -> Request {
    stream(id, "/draft/x")
}

fn ask(id: &str) -> Request {
    stream(id, "/ask/x")
}

/// Checks that a stream that breaks off after event 2 looks broken to the caller, and runs once.
fn assert_looks_broken(fate: Fate, break_off: BreakOff) {
    let (platform, router) = platform_with_retries();
    fate.prepare(&platform.engines, break_off);
    let before = run_count(&platform.engines);
    let received = router.receive(&draft("a"));
    let text = received.text();
    assert!(received.answer().is_none(), "{fate:?} {break_off:?} {text}");
    assert!(text.contains("data: 2\n"), "{fate:?} {break_off:?} {text}");
    assert!(!text.contains("id: 99"), "{fate:?} {break_off:?} {text}");
    assert_eq!(run_count(&platform.engines), before + 1);
}

/// Checks that a stream that breaks off after event 2 is resumed after it.
fn assert_resumed(fate: Fate, break_off: BreakOff) {
    let (platform, router) = platform_with_retries();
    let [first, second] = &platform.engines[..] else {
        panic!("two engines expected");
    };
    fate.prepare(std::slice::from_ref(first), break_off);
    assert_whole_until_run(&router, first, ask, &whole_stream());
    let resumed = second.received_requests().pop().unwrap();
    assert_eq!(resumed.header("last-event-id"), "2", "{fate:?}");
}

#[test]
fn a_stream_that_ends_inside_an_event_does_not_look_complete() {
    for (fate, framing) in INSIDE_EVENT {
        assert_looks_broken(fate, inside_event(2, framing));
    }
}

#[test]
fn a_stream_that_ends_inside_its_first_event_is_refused() {
    for (fate, framing) in INSIDE_EVENT {
        let (platform, router) = platform_with_retries();
        fate.prepare(&platform.engines, inside_event(0, framing));
        let before = run_count(&platform.engines);
        assert_outcome_unknown(router.send(&draft("a")));
        assert_eq!(run_count(&platform.engines), before + 1);
    }
}

#[test]
fn a_stream_that_ends_inside_an_event_is_resumed_after_its_last_event() {
    for (fate, framing) in INSIDE_EVENT {
        assert_resumed(fate, inside_event(2, framing));
    }
}

#[test]
fn a_stream_that_ends_inside_an_event_twice_does_not_look_complete() {
    for (fate, framing) in INSIDE_EVENT {
        let (platform, router) = platform_with_retries();
        fate.prepare(&platform.engines, inside_event(2, framing));
        let before = run_count(&platform.engines);
        let received = router.receive(&ask("a"));
        let text = received.text();
        assert!(received.answer().is_none(), "{fate:?} {framing:?} {text}");
        assert!(!text.contains("id: 99"), "{fate:?} {framing:?} {text}");
        assert_eq!(run_count(&platform.engines), before + 2);
        let seen = platform.engines.iter().flat_map(|t| t.received_requests());
        let resumed = seen.filter(|s| s.header("last-event-id") == "2");
        assert_eq!(resumed.count(), 1);
    }
}

#[test]
fn an_unframed_stream_whose_target_died_between_events_does_not_look_complete() {
    assert_looks_broken(Fate::Crashes, between_events(2));
}

#[test]
fn an_unframed_stream_whose_target_died_between_events_is_resumed() {
    assert_resumed(Fate::Crashes, between_events(2));
}

// The events of the first run must not count as events of the second one.
#[test]
fn a_resumed_run_that_ends_before_its_first_event_does_not_look_complete() {
    let (platform, router) = platform_with_retries();
    let [first, second] = &platform.engines[..] else {
        panic!("two engines expected");
    };
    let mut n = 0;
    wait_for("a stream that is resumed at the second target", || {
        n += 1;
        first.replace_behaviours(&[Behaviour::BreakOff(inside_event(2, Framing::Unframed))]);
        second.replace_behaviours(&[Behaviour::BreakOff(between_events(2))]);
        let answer = router.send(&ask(&format!("a{n}")));
        let received = second.received_requests();
        let is_resumed = received.iter().any(|r| r.header("last-event-id") == "2");
        assert!(!is_resumed || answer.is_none(), "{answer:?}");
        is_resumed
    });
}

// A comment keeps a connection open and is no event.
#[test]
fn an_unframed_stream_of_a_comment_does_not_look_complete() {
    let (platform, router) = platform_with_retries();
    let comment = BreakOff {
        at: BreakPoint::BehindComment,
        ..between_events(0)
    };
    Fate::Lives.prepare(&platform.engines, comment);
    assert!(router.send(&draft("a")).is_none());
}

#[test]
fn an_unframed_stream_that_ends_before_its_first_event_is_refused() {
    for fate in [Fate::Lives, Fate::Crashes] {
        let (platform, router) = platform_with_retries();
        fate.prepare(&platform.engines, between_events(0));
        let before = run_count(&platform.engines);
        assert_outcome_unknown(router.send(&draft("a")));
        assert_eq!(run_count(&platform.engines), before + 1);
    }
}

// A target that reaches the deadline of a stream ends it in order, and lives.
#[test]
fn an_unframed_stream_that_ends_at_its_deadline_does_not_look_complete() {
    let (platform, router) = platform_with_retries();
    for n in 0..16 {
        for engine in &platform.engines {
            engine.replace_behaviours(&[Behaviour::EndAtDeadline(2)]);
        }
        let request = draft(&format!("d{n}")).with_remaining(400 + n % 8);
        assert!(router.send(&request).is_none(), "request {n}");
    }
}

#[test]
fn an_unframed_answer_cut_short_by_a_crash_does_not_look_complete() {
    let (platform, router) = platform_with_retries();
    Fate::Crashes.prepare(&platform.plain, inside_event(0, Framing::Unframed));
    let before = run_count(&platform.plain);
    assert_outcome_unknown(router.send(&plain("a", "/once/x")));
    assert_eq!(run_count(&platform.plain), before + 1);
}

/// Checks that a request whose first answer breaks off is answered whole by the other target.
fn assert_answered_elsewhere(fate: Fate, break_off: BreakOff) {
    let (platform, router) = platform_with_retries();
    fate.prepare(&platform.plain[..1], break_off);
    let request = |id: &str| plain(id, "/safe/x");
    assert_whole_until_run(&router, &platform.plain[0], request, "whole");
}

#[test]
fn an_idempotent_request_is_retried_after_a_crash_cut_its_unframed_answer_short() {
    assert_answered_elsewhere(Fate::Crashes, inside_event(0, Framing::Unframed));
}

// The attempt whose body breaks off must count once against the attempts of the route.
#[test]
fn an_idempotent_request_is_retried_after_its_answer_broke_off_in_its_body() {
    for fate in [Fate::Lives, Fate::Crashes] {
        assert_answered_elsewhere(fate, inside_event(0, Framing::Framed));
        let reset = BreakOff {
            is_reset: true,
            ..inside_event(0, Framing::Unframed)
        };
        assert_answered_elsewhere(fate, reset);
    }
}

// Of an answer that counts as whole no other line names the target.
#[test]
fn an_unproven_end_is_logged_with_its_target_and_time() {
    let (platform, router) = platform_with_retries();
    Fate::Lives.prepare(&platform.engines, inside_event(2, Framing::Unframed));
    router.receive(&draft("a"));
    let mut log = String::new();
    wait_for("the log lines of the request", || {
        log = router.log();
        log.contains("Stream broken. request=a ")
    });
    let line = log
        .lines()
        .find(|line| line.contains("Unproven end. request=a "));
    let line = line.unwrap();
    let value = |key: &str| {
        let mut words = line.split(' ');
        words.find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
    };
    let mut engines = platform.engines.iter();
    let target = engines.find(|engine| {
        let received = engine.received_requests();
        received.iter().any(|r| r.header("x-attempt-id") == "a")
    });
    let id = value("target").map(|id| format!("servers/{id}"));
    assert_eq!(id, Some(target.unwrap().entry_key()), "{line}");
    let after_ms = value("after_ms").map(str::parse::<u64>);
    assert!(matches!(after_ms, Some(Ok(_))), "{line}");
}

/// Sends a request as a caller of HTTP/1.0, to whom no chunks may be sent.
fn send_by_http_1_0(router: &Router, request: &Request) -> Option<Answer> {
    let text = request.text().replacen("HTTP/1.1", "HTTP/1.0", 1);
    exchange(router.port(), &text)
}

#[test]
fn a_broken_stream_does_not_look_complete_to_a_caller_of_http_1_0() {
    let (platform, router) = platform_with_retries();
    let whole = send_by_http_1_0(&router, &draft("whole"));
    assert_whole(whole, &whole_stream());
    Fate::Lives.prepare(&platform.engines, BreakOff::after(2));
    assert_outcome_unknown(send_by_http_1_0(&router, &draft("broken")));
}

/// Checks that streams that break off in this way are refused, and leave the prepaid total as it is.
fn assert_costs_nothing(break_off: BreakOff, send: fn(&Router, &Request) -> Option<Answer>) {
    const COST: u64 = 100;
    const BROKEN: usize = 10;
    let platform = TestPlatform::new(20 * COST);
    let router = Router::start("a", &platform.store);
    for n in 0..BROKEN {
        for engine in &platform.engines {
            engine.replace_behaviours(&[Behaviour::BreakOff(break_off)]);
        }
        let request = draft(&format!("l{n}")).with_tokens(90, 10);
        assert_outcome_unknown(send(&router, &request));
    }
    assert_eq!(run_count(&platform.engines), BROKEN);
    let clear = SimulatedTarget::clear_behaviours;
    platform.engines.iter().for_each(clear);
    let (mut served, mut n) = (0, 0);
    wait_for("a refusal for the exhausted total", || {
        n += 1;
        let request = draft(&format!("x{n}")).with_tokens(90, 10);
        let status = router.send(&request).unwrap().status;
        served += u64::from(status == 200);
        status == 402
    });
    assert!((18..=20).contains(&served), "{served} of 20 were served");
}

/// Guards against paying for the prompt of a stream of which nothing was delivered.
#[test]
fn a_stream_that_ends_inside_its_first_event_costs_nothing() {
    assert_costs_nothing(inside_event(0, Framing::Unframed), Router::send);
}

/// Guards against paying for events that were collected and never delivered.
#[test]
fn a_broken_stream_costs_a_caller_of_http_1_0_nothing() {
    assert_costs_nothing(BreakOff::after(2), send_by_http_1_0);
}
