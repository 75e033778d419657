//! Targets whose answers never end.

use std::thread::scope;

use wisteriapass_bench::standin::users_platform::{Behaviour, EndlessPart, SimulatedTarget};

use crate::support::breaks::{assert_whole, plain, platform_with_retries, stream, whole_stream};
use crate::support::{Answer, Request, Router, VM_MEMORY_MB, exchange, wait_for};

/// Number of requests that run at the same time.
const CONCURRENT: usize = 16;

/// Time that a caller waits for an answer that no target completes, in milliseconds.
const PATIENCE_MS: u64 = 2_000;

/// Parts of a plain answer that never end.
const PLAIN_PARTS: [EndlessPart; 5] = [
    EndlessPart::Head,
    EndlessPart::Informational,
    EndlessPart::ChunkSize,
    EndlessPart::Chunks,
    EndlessPart::Unframed,
];

/// Parts of a stream that never end, before its first event.
const STREAM_PARTS: [EndlessPart; 4] = [
    EndlessPart::Head,
    EndlessPart::Informational,
    EndlessPart::ChunkSize,
    EndlessPart::Event,
];

fn save(id: &str) -> Request {
    plain(id, "/once/x").with_remaining(PATIENCE_MS)
}

fn draft(id: &str) -> Request {
    stream(id, "/draft/x").with_remaining(PATIENCE_MS)
}

fn set_behaviours(targets: &[SimulatedTarget], behaviour: Behaviour) {
    for target in targets {
        target.replace_behaviours(&[behaviour; CONCURRENT]);
    }
}

/// Sends requests at the same time; returns the answer to each.
fn send_all(router: &Router, request: impl Fn(&str) -> Request, series: &str) -> Vec<Answer> {
    let ids = (0..CONCURRENT).map(|n| format!("{series}-{n}"));
    let requests: Vec<Request> = ids.map(|id| request(&id)).collect();
    scope(|threads| {
        let send = |request| threads.spawn(move || router.send(request));
        let sent: Vec<_> = requests.iter().map(send).collect();
        let answers = sent.into_iter().map(|answer| answer.join().unwrap());
        answers.map(|answer| answer.expect("an answer")).collect()
    })
}

/// Checks that a request counts as a failure of a target, and that no connection is left open.
fn assert_failed(router: &Router, targets: &[SimulatedTarget], id: &str) {
    let failed = format!("Target failed it. request={id} ");
    wait_for(&format!("a failure of a target: {id}"), || {
        router.log().contains(&failed)
    });
    assert_connections_closed(targets);
}

fn assert_connections_closed(targets: &[SimulatedTarget]) {
    wait_for("the end of the connections", || {
        targets.iter().all(|t| t.unfinished_answers() == 0)
    });
}

/// Returns the name of a part in the router's log.
fn logged_part(part: EndlessPart) -> &'static str {
    match part {
        EndlessPart::Head => "head",
        EndlessPart::Informational | EndlessPart::ChunkSize => "framing",
        EndlessPart::Event => "event",
        EndlessPart::Chunks | EndlessPart::Unframed => "body",
        EndlessPart::Events | EndlessPart::BlankLines => "body",
    }
}

/// Checks that endless answers neither hold their callers nor exceed the memory of the VM.
fn assert_given_up(
    router: &Router,
    targets: &[SimulatedTarget],
    request: fn(&str) -> Request,
    part: EndlessPart,
) {
    set_behaviours(targets, Behaviour::Endless(part));
    let series = format!("{part:?}");
    for answer in send_all(router, request, &series) {
        assert_eq!(answer.status, 502, "{part:?} {}", answer.body);
        assert!(answer.body.contains("outcome_unknown"), "{}", answer.body);
    }
    assert_failed(router, targets, &format!("{series}-0"));
    let logged = format!("part={}\n", logged_part(part));
    assert!(router.log().contains(&logged), "{part:?}");
    let peak_mb = router.peak_memory_mb();
    assert!(peak_mb < VM_MEMORY_MB, "{part:?}: {peak_mb} MB");
}

/// Guards against a plain answer without end that fills the memory of the VM, and holds its caller up to
/// the deadline.
#[test]
fn a_plain_answer_without_end_is_given_up() {
    let (platform, router) = platform_with_retries();
    for part in PLAIN_PARTS {
        assert_given_up(&router, &platform.plain, save, part);
    }
    set_behaviours(&platform.plain, Behaviour::Answer);
    assert_whole(router.send(&plain("after", "/safe/x")), "whole");
}

/// Guards against a stream without end that holds its caller up to the deadline.
#[test]
fn a_stream_without_end_before_its_first_event_is_given_up() {
    let (platform, router) = platform_with_retries();
    for part in STREAM_PARTS {
        assert_given_up(&router, &platform.engines, draft, part);
    }
    set_behaviours(&platform.engines, Behaviour::Answer);
    assert_whole(router.send(&stream("after", "/draft/x")), &whole_stream());
}

/// Guards against a request that may be repeated and fails with the endless answer of one target.
#[test]
fn a_request_goes_on_at_another_target_behind_an_answer_without_end() {
    let (platform, router) = platform_with_retries();
    // The router prefers the target that did not fail last.
    let in_turn = platform.plain.iter().cycle();
    for (part, endless) in PLAIN_PARTS.into_iter().zip(in_turn) {
        let before = endless.run_count();
        endless.replace_behaviours(&[Behaviour::Endless(part)]);
        let mut n = 0;
        wait_for("an endless answer", || {
            n += 1;
            let answer = router.send(&plain(&format!("{part:?}-{n}"), "/safe/x"));
            assert_whole(answer, "whole");
            endless.run_count() > before
        });
    }
}

/// Guards against an endless stream that is collected for a client of HTTP/1.0 until the memory of the VM
/// is full.
#[test]
fn a_stream_without_end_is_not_collected_without_end() {
    let (platform, router) = platform_with_retries();
    set_behaviours(&platform.engines, Behaviour::Endless(EndlessPart::Events));
    let text = draft("old").text().replace("HTTP/1.1", "HTTP/1.0");
    let answer = exchange(router.port(), &text).expect("an answer");
    assert_eq!(answer.status, 502, "{}", answer.body);
    assert_connections_closed(&platform.engines);
    let peak_mb = router.peak_memory_mb();
    assert!(peak_mb < VM_MEMORY_MB, "{peak_mb} MB");
}

/// Guards against targets that count as healthy although their answers have not ended by the deadline.
#[test]
fn an_answer_that_drips_without_end_counts_as_a_failure_of_its_target() {
    let (platform, router) = platform_with_retries();
    let plain_parts = PLAIN_PARTS.map(|part| (&platform.plain, save as fn(&str) -> Request, part));
    let stream_parts = STREAM_PARTS.map(|part| (&platform.engines, draft as _, part));
    for (targets, request, part) in plain_parts.into_iter().chain(stream_parts) {
        set_behaviours(targets, Behaviour::Drip(part));
        let id = format!("{part:?}-{}", request("x").path.len());
        let answer = router.send(&request(&id)).expect("an answer");
        assert_eq!(answer.status, 504, "{part:?} {}", answer.body);
        assert_failed(&router, targets, &id);
    }
}
