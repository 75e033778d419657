//! Answers whose end is marked only by the end of the connection.

use std::thread::sleep;
use std::time::Duration;

use wisteriapass_bench::standin::users_platform::{
    Behaviour, BreakOff, BreakPoint, Framing, SimulatedTarget,
};

use crate::support::breaks::{
    Fate, assert_outcome_unknown, assert_whole, assert_whole_until_run, plain,
    platform_with_retries, run_count, stream, whole_stream,
};
use crate::support::{Request, Router, TestPlatform, reach, wait_for};

/// An unframed answer that is reset inside an event or within its body.
const RESET: BreakOff = BreakOff {
    after: 2,
    at: BreakPoint::InsideEvent,
    framing: Framing::Unframed,
    is_reset: true,
};

/// Time after which the router reuses a connection.
const REUSE_TIME: Duration = Duration::from_millis(50);

/// Number of answers in a row on each route.
const IN_A_ROW: usize = 4;

fn answer_unframed(targets: &[SimulatedTarget], rest: &'static str) {
    for target in targets {
        target.replace_behaviours(&[Behaviour::AnswerUnframed(rest); IN_A_ROW]);
    }
}

#[test]
fn whole_unframed_streams_arrive_whole() {
    let (platform, router) = platform_with_retries();
    for rest in ["", ": bye\n", "\n", ": bye", "\r\n"] {
        for path in ["/draft/x", "/ask/x"] {
            answer_unframed(&platform.engines, rest);
            let before = run_count(&platform.engines);
            for n in 0..IN_A_ROW {
                let answer = router.send(&stream(&format!("{n}"), path));
                assert_whole(answer, &(whole_stream() + rest));
            }
            assert_eq!(run_count(&platform.engines), before + IN_A_ROW);
        }
    }
}

#[test]
fn whole_unframed_plain_answers_arrive_whole() {
    let (platform, router) = platform_with_retries();
    for path in ["/once/x", "/safe/x"] {
        answer_unframed(&platform.plain, "");
        let before = run_count(&platform.plain);
        for n in 0..IN_A_ROW {
            assert_whole(router.send(&plain(&format!("{n}"), path)), "whole");
        }
        assert_eq!(run_count(&platform.plain), before + IN_A_ROW);
    }
}

/// Checks that an unframed answer arrives whole from targets that reset new connections.
fn assert_whole_of_saturated(
    router: &Router,
    targets: &[SimulatedTarget],
    request: fn(&str) -> Request,
    body: &str,
) {
    for target in targets {
        // Leaves an open connection, on which the answer then comes.
        reach(router, target, request, "c");
    }
    sleep(REUSE_TIME);
    answer_unframed(targets, "");
    targets.iter().for_each(|t| t.set_saturated(true));
    let before = run_count(targets);
    assert_whole(router.send(&request("a")), body);
    assert_eq!(run_count(targets), before + 1);
    targets.iter().for_each(|t| t.set_saturated(false));
    targets.iter().for_each(SimulatedTarget::clear_behaviours);
}

// A target at its connection limit resets the connection that asks whether it lives.
#[test]
fn whole_unframed_answers_of_saturated_targets_arrive_whole() {
    let (platform, router) = platform_with_retries();
    let answers: [fn(&str) -> Request; 2] = [|id| plain(id, "/once/x"), |id| plain(id, "/safe/x")];
    for request in answers {
        assert_whole_of_saturated(&router, &platform.plain, request, "whole");
    }
    let streams: [fn(&str) -> Request; 2] =
        [|id| stream(id, "/draft/x"), |id| stream(id, "/ask/x")];
    for request in streams {
        assert_whole_of_saturated(&router, &platform.engines, request, &whole_stream());
    }
}

#[test]
fn an_unframed_stream_that_is_reset_does_not_look_complete() {
    for fate in [Fate::Lives, Fate::Crashes] {
        let (platform, router) = platform_with_retries();
        fate.prepare(&platform.engines, RESET);
        let before = run_count(&platform.engines);
        let received = router.receive(&stream("a", "/draft/x"));
        assert!(received.answer().is_none(), "{fate:?}");
        assert!(!received.text().contains("id: 99"), "{fate:?}");
        assert_eq!(run_count(&platform.engines), before + 1);
    }
}

#[test]
fn an_unframed_stream_that_is_reset_is_resumed_after_its_last_event() {
    for fate in [Fate::Lives, Fate::Crashes] {
        let (platform, router) = platform_with_retries();
        fate.prepare(&platform.engines[..1], RESET);
        let request = |id: &str| stream(id, "/ask/x");
        assert_whole_until_run(&router, &platform.engines[0], request, &whole_stream());
    }
}

#[test]
fn an_unframed_plain_answer_that_is_reset_does_not_look_complete() {
    for fate in [Fate::Lives, Fate::Crashes] {
        let (platform, router) = platform_with_retries();
        fate.prepare(&platform.plain, RESET);
        let before = run_count(&platform.plain);
        assert_outcome_unknown(router.send(&plain("a", "/once/x")));
        assert_eq!(run_count(&platform.plain), before + 1);
    }
}

/// Guards against paying for output that a broken stream did not deliver.
#[test]
fn a_broken_unframed_stream_costs_what_was_delivered() {
    const TOTAL: u64 = 1_000;
    const PROMPT: u64 = 10;
    const MAX_OUTPUT: u64 = 90;
    // Two tokens per event; two or five events are delivered.
    const BROKEN_COST: u64 = PROMPT + 4;
    const COST: u64 = PROMPT + 10;
    const BROKEN: u64 = 10;
    let platform = TestPlatform::new(TOTAL);
    let router = Router::start("a", &platform.store);
    let request = |id: String| Request::new(&id, "/draft/x").with_tokens(PROMPT, MAX_OUTPUT);
    let break_off = BreakOff {
        is_reset: false,
        ..RESET
    };
    let mut n = 0;
    // A request is refused while its router's share does not cover it.
    wait_for("broken streams", || {
        n += 1;
        for engine in &platform.engines {
            engine.replace_behaviours(&[Behaviour::BreakOff(break_off)]);
        }
        router.receive(&request(format!("b{n}")));
        run_count(&platform.engines) as u64 == BROKEN
    });
    let clear = SimulatedTarget::clear_behaviours;
    platform.engines.iter().for_each(clear);
    let (mut served, mut n) = (0, 0);
    wait_for("a refusal for the exhausted total", || {
        n += 1;
        let status = router.send(&request(format!("r{n}"))).unwrap().status;
        served += u64::from(status == 200);
        status == 402
    });
    let spent = BROKEN * BROKEN_COST + served * COST;
    let possible = TOTAL - PROMPT - MAX_OUTPUT - COST..=TOTAL;
    assert!(possible.contains(&spent), "{served} were served");
}
