//! Answers to callers: complete answers to their own requests, or accurate refusals.

use wisteriapass_bench::standin::users_platform::Behaviour;

use crate::support::{Request, Router, TestPlatform};

#[test]
fn a_stream_arrives_complete_and_its_target_receives_the_right_headers() {
    let platform = TestPlatform::new(10_000);
    let router = Router::start("r", &platform.store);
    let headers = [
        "X-Tenant: forged",
        "X-Kv-Backup: 1.2.3.4:5",
        "Kv-From: 1.2.3.4:5/x",
    ];
    let request = Request::new("a1", "/draft/x?y=1").with_tokens(100, 10);
    let answer = router.send(&request.with_headers(&headers)).unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(answer.events(), [1, 2, 3, 4, 5]);
    assert!(answer.head.contains("x-server-stamp: s"));
    assert!(answer.head.contains("x-attempt-id: a1"));
    let seen: Vec<_> = platform
        .engines
        .iter()
        .flat_map(|t| t.received_requests())
        .collect();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].request_line.trim(), "POST /draft/x?y=1 HTTP/1.1");
    assert_eq!(seen[0].header("x-tenant"), "acme");
    assert_eq!(seen[0].header("authorization"), "");
    assert_eq!(seen[0].header("x-kv-backup"), "");
    assert_eq!(seen[0].header("kv-from"), "");
    assert!(seen[0].header("x-expected-instance").starts_with('e'));
    let left: u64 = seen[0].header("x-deadline-remaining").parse().unwrap();
    assert!(left <= 6_000);
}

// The first event was put behind those that had arrived with it.
#[test]
fn events_that_arrive_together_keep_their_order() {
    let platform = TestPlatform::new(10_000);
    let router = Router::start("r", &platform.store);
    for engine in &platform.engines {
        engine.push_behaviours(&[Behaviour::AnswerAtOnce]);
    }
    let request = Request::new("a", "/draft/x").with_tokens(100, 10);
    let answer = router.send(&request).unwrap();
    assert_eq!(answer.events(), [1, 2, 3, 4, 5]);
}

#[test]
fn unknown_keys_and_routes_are_refused() {
    let platform = TestPlatform::new(10_000);
    let router = Router::start("r", &platform.store);
    let unknown = Request::new("a", "/safe/x").with_key("nobody");
    assert_eq!(router.send(&unknown).unwrap().status, 401);
    assert_eq!(
        router.send(&Request::new("b", "/none/x")).unwrap().status,
        404
    );
    assert_eq!(platform.plain_runs(), 0);
}

#[test]
fn a_request_that_did_not_run_is_retried_at_another_target() {
    let platform = TestPlatform::new(10_000);
    let router = Router::start("r", &platform.store);
    for target in &platform.plain {
        target.push_behaviours(&[Behaviour::Shed, Behaviour::Answer]);
    }
    let answer = router.send(&Request::new("a", "/once/x")).unwrap();
    assert_eq!(answer.status, 503, "both targets shed the request");
    assert!(answer.head.contains("retry-after"));
    assert_eq!(platform.plain_runs(), 0);
}

#[test]
fn a_non_idempotent_request_is_not_retried_after_its_answer_was_lost() {
    for behaviour in [
        Behaviour::CloseUnanswered,
        Behaviour::MalformedAnswer,
        Behaviour::WrongAttemptId,
    ] {
        let platform = TestPlatform::new(10_000);
        let router = Router::start("r", &platform.store);
        for target in &platform.plain {
            target.push_behaviours(&[behaviour]);
        }
        let answer = router.send(&Request::new("a", "/once/x")).unwrap();
        assert_eq!(answer.status, 502, "{behaviour:?}");
        assert!(!answer.body.contains("whole"));
        assert_eq!(platform.plain_runs(), 1, "{behaviour:?}");
    }
}

#[test]
fn an_idempotent_request_is_retried_elsewhere_after_its_answer_was_lost() {
    for behaviour in [
        Behaviour::CloseUnanswered,
        Behaviour::MalformedAnswer,
        Behaviour::WrongAttemptId,
        Behaviour::ServerError,
    ] {
        let platform = TestPlatform::new(10_000);
        let router = Router::start("r", &platform.store);
        for target in &platform.plain {
            target.push_behaviours(&[behaviour, Behaviour::Answer, Behaviour::Answer]);
        }
        // Earlier requests earn the retry budget for the first retries.
        let answers: Vec<u16> = (0..3)
            .map(|i| {
                router
                    .send(&Request::new(&format!("a{i}"), "/safe/x"))
                    .unwrap()
                    .status
            })
            .collect();
        assert!(answers.contains(&200), "{behaviour:?} {answers:?}");
        let seen = platform.plain.iter().flat_map(|t| t.received_requests());
        let attempts = seen.fold(std::collections::BTreeMap::new(), |mut n, s| {
            *n.entry(s.header("x-attempt-id").to_owned()).or_insert(0) += 1;
            n
        });
        assert!(attempts.values().all(|n| *n <= 2), "{attempts:?}");
    }
}

#[test]
fn a_broken_stream_resumes_after_its_last_event() {
    let platform = TestPlatform::new(10_000);
    let router = Router::start("r", &platform.store);
    for target in &platform.engines {
        target.push_behaviours(&[Behaviour::BreakAfter(2), Behaviour::Answer]);
    }
    // Both engines break off one stream during the first request; the second request finds engines
    // that answer normally.
    router.send(&Request::new("a", "/ask/x").with_tokens(100, 10));
    let answer = router
        .send(&Request::new("b", "/ask/x").with_tokens(100, 10))
        .unwrap();
    assert_eq!(answer.events(), [1, 2, 3, 4, 5]);
    let resumed = platform.engines.iter().flat_map(|t| t.received_requests());
    assert!(
        resumed
            .into_iter()
            .any(|s| s.header("last-event-id") == "2")
    );
}

#[test]
fn a_broken_stream_without_resumption_does_not_look_complete() {
    let platform = TestPlatform::new(10_000);
    let router = Router::start("r", &platform.store);
    for target in &platform.engines {
        target.push_behaviours(&[Behaviour::BreakAfter(2)]);
    }
    let request = Request::new("a", "/draft/x").with_tokens(100, 10);
    assert!(router.send(&request).is_none());
    let runs: usize = platform.engines.iter().map(|t| t.run_count()).sum();
    assert_eq!(runs, 1);
}

#[test]
fn metrics_count_answers_refusals_and_store_calls() {
    let platform = TestPlatform::new(10_000);
    let router = Router::start("r", &platform.store);
    let stream = Request::new("m1", "/draft/x").with_tokens(100, 10);
    assert_eq!(router.send(&stream).unwrap().status, 200);
    let plain = Request::new("m2", "/safe/x");
    assert_eq!(router.send(&plain).unwrap().status, 200);
    let unknown = Request::new("m3", "/safe/x").with_key("nobody");
    assert_eq!(router.send(&unknown).unwrap().status, 401);
    let metrics = router.metrics();
    let has = |name: &str, labels: &[&str]| {
        let mut lines = metrics.lines().filter(|l| l.starts_with(name));
        lines.any(|l| labels.iter().all(|label| l.contains(label)))
    };
    assert!(has("wisteriapass_answers_total", &["kind=\"stream\""]));
    assert!(has("wisteriapass_answers_total", &["kind=\"idempotent\""]));
    assert!(has("wisteriapass_refusals_total", &["unknown_key"]));
    assert!(has("wisteriapass_first_event_seconds_bucket", &["stream"]));
    assert!(has("wisteriapass_answer_seconds_count", &["idempotent"]));
    for call in ["read", "read_shares", "write_shares"] {
        let call = format!("call=\"{call}\"");
        assert!(has("wisteriapass_store_calls_total", &[&call, "answered"]));
    }
}
