//! Targets that stop within the head of an answer and close the connection.

use crate::support::{RawTarget, RelayFleet, Request, Router, TestPlatform, wait_for};

/// Prepaid total that covers all requests of a test many times.
const PREPAID: u64 = 100_000_000;

/// Heads of a framed, an unframed and a chunked answer, and one behind an interim answer.
const HEADS: [&str; 5] = [
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Attempt-Id: {id}\r\nContent-Type: text/plain\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Attempt-Id: {id}\r\n\
     Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\nX-Server-Stamp: s\n\
     X-Attempt-Id: {id}\nContent-Length: 0\n\n",
];

/// Positions at which heads are cut: each one at which a line or its name ends, and some within.
fn cuts(head: &str) -> impl Iterator<Item = usize> {
    let is_end = |n: usize| {
        let around = &head.as_bytes()[n.saturating_sub(1)..=n];
        around.iter().any(|byte| b"\r\n:".contains(byte))
    };
    (1..head.len()).filter(move |n| is_end(*n) || n % 7 == 0)
}

/// Sends requests until one reaches the target; asserts that none is answered as a success.
fn assert_no_success(router: &Router, target: &RawTarget, path: &str, series: &str) {
    let before = target.received();
    let mut n = 0;
    wait_for("a request at the target", || {
        n += 1;
        let request = Request::new(&format!("{series}-{n}"), path).with_tokens(10, 10);
        let text = router.receive(&request).text();
        assert!(!text.starts_with("HTTP/1.1 2"), "{series}: {text}");
        target.received() > before
    });
}

fn assert_no_success_at_any_cut(platform: &TestPlatform, router: &Router, service: &str) {
    let target = RawTarget::start(platform, service);
    let paths = match service {
        "plain" => ["/once/x", "/safe/x"],
        _ => ["/draft/x", "/ask/x"],
    };
    target.wait_until_only(router, paths[0]);
    for (h, head) in HEADS.iter().enumerate() {
        for cut in cuts(head) {
            target.set_answer(&head.as_bytes()[..cut]);
            let path = paths[cut % paths.len()];
            assert_no_success(router, &target, path, &format!("{service}-{h}-{cut}"));
        }
    }
}

#[test]
fn an_answer_whose_head_is_cut_looks_complete() {
    let platform = TestPlatform::new(PREPAID);
    let router = Router::start("r", &platform.store);
    assert_no_success_at_any_cut(&platform, &router, "plain");
    assert_no_success_at_any_cut(&platform, &router, "engines");
}

#[test]
fn an_answer_whose_head_is_cut_looks_complete_at_a_follower() {
    let fleet = RelayFleet::start(PREPAID);
    assert_no_success_at_any_cut(&fleet.platform, &fleet.followers[0], "engines");
}

/// Guards against a success without its body where the head was whole and nothing followed.
#[test]
fn an_answer_that_is_cut_behind_its_head_looks_complete() {
    let platform = TestPlatform::new(PREPAID);
    let router = Router::start("r", &platform.store);
    let target = RawTarget::start(&platform, "plain");
    target.wait_until_only(&router, "/once/x");
    target.set_answer(HEADS[1].as_bytes());
    assert_no_success(&router, &target, "/once/x", "body");
}

/// Guards against a panic at an idle time that no clock can represent.
#[test]
fn an_answer_with_an_endless_keep_alive_is_lost() {
    let platform = TestPlatform::new(PREPAID);
    let router = Router::start("r", &platform.store);
    let target = RawTarget::start(&platform, "plain");
    for timeout in ["18446744073709551615", "9223372036854775807"] {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {{id}}\r\nX-Server-Stamp: s\r\n\
             Keep-Alive: timeout={timeout}\r\nContent-Length: 5\r\n\r\nwhole"
        );
        target.set_answer(head.as_bytes());
        let before = target.received();
        let mut n = 0;
        wait_for("a request at the target", || {
            n += 1;
            let answer = router.send(&Request::new(&format!("{timeout}-{n}"), "/safe/x"));
            let answer = answer.expect("an answer");
            let has_arrived = target.received() > before;
            assert!(!has_arrived || answer.status == 200, "{answer:?}");
            has_arrived
        });
    }
}
