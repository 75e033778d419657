//! A router explains where a request would go, by what routes it, and without doing anything.

use serde_json::json;
use wisteriapass_bench::standin::users_platform::{Behaviour, SimulatedStore, SimulatedTarget};
use wisteriapass_daemon::explain::{
    AskError, ExplainAnswer, ExplainCall, PromptPart, ServicePlacement, ask,
};

use crate::support::{
    KEY, RelayFleet, Request, Router, TestPlatform, configuration, exchange, reach, wait_for,
};

/// Prepaid total that no test uses up.
const PLENTY: u64 = 100_000_000;

/// Returns the question about a model request with a shared part of its prompt.
fn question(part: &str) -> ExplainCall {
    let parts = [(part, 5_000), ("abc", 100)];
    let part = |(id, tokens): (&str, u64)| PromptPart {
        id: id.to_owned(),
        tokens,
    };
    ExplainCall {
        host: Some("h.example".into()),
        path: Some("/draft/x".into()),
        account: Some("acme".into()),
        prompt_parts: parts.map(part).into(),
        prompt_tokens: Some(5_100),
        max_output_tokens: Some(10),
        ..ExplainCall::default()
    }
}

/// Returns the same request, as its caller sends it.
fn request(part: &str) -> Request {
    let prefix = format!("X-Prompt-Prefix: {part}:5000,abc:100");
    let request = Request::new(&format!("x{part}"), "/draft/x").with_tokens(5_100, 10);
    request.with_headers(&[&prefix])
}

/// Returns a question about a request to a plain service.
fn plain_question() -> ExplainCall {
    ExplainCall {
        host: Some("h.example".into()),
        path: Some("/safe/x".into()),
        account: Some("acme".into()),
        ..ExplainCall::default()
    }
}

fn explain(router: &Router, call: &ExplainCall) -> ExplainAnswer {
    ask(router.readiness_address(), call).unwrap().answer
}

/// Returns the placement of a request whose route has one service.
fn placement(router: &Router, call: &ExplainCall) -> ServicePlacement {
    let services = explain(router, call).services;
    let [placement] = <[_; 1]>::try_from(services).unwrap();
    placement
}

/// Returns why a target gets no request.
fn exclusion(placement: &ServicePlacement, target: &SimulatedTarget) -> Option<String> {
    let is_target = |id: &str| target.entry_key().ends_with(&format!("/{id}"));
    let found = placement.targets.iter().find(|t| is_target(&t.id));
    found.unwrap().exclusion.clone()
}

fn error_kind(router: &Router, call: &ExplainCall) -> String {
    match ask(router.readiness_address(), call) {
        Err(
            AskError::Refused { detail, .. }
            | AskError::Malformed { detail, .. }
            | AskError::NotConfigured { detail, .. },
        ) => detail.kind,
        other => panic!("{other:?}"),
    }
}

/// Returns the indexes of the engines that received a request with this id.
fn receivers(platform: &TestPlatform, id: &str) -> Vec<usize> {
    let has_received = |engine: &SimulatedTarget| {
        let received = engine.received_requests();
        received.iter().any(|r| r.header("x-attempt-id") == id)
    };
    let engines = platform.engines.iter().enumerate();
    let receiving = engines.filter(|(_, engine)| has_received(engine));
    receiving.map(|(index, _)| index).collect()
}

/// Guards against an explanation that names another target than the one that gets the request.
#[test]
fn the_explained_target_gets_the_request() {
    let platform = TestPlatform::with_engines(PLENTY, 4);
    let router = Router::start("r", &platform.store);
    let mut chosen = Vec::new();
    for n in 0..12 {
        let part = format!("f{n:x}");
        let placement = placement(&router, &question(&part));
        assert_eq!(placement.decision.action, "send", "{placement:?}");
        let choice = placement.choice.unwrap();
        assert_eq!(choice.reason, "lowest_cost");
        assert_eq!(choice.decided_by.as_deref(), Some("read"));
        assert_eq!(placement.targets[0].prefix, "home");
        assert_eq!(router.send(&request(&part)).unwrap().status, 200);
        let index = receivers(&platform, &format!("x{part}"))[0];
        assert!(
            platform.engines[index]
                .entry_key()
                .ends_with(&choice.target)
        );
        chosen.push(index);
    }
    chosen.sort_unstable();
    chosen.dedup();
    assert!(chosen.len() > 1, "all parts have one home");
}

/// Guards against questions that reserve, record or learn what routing goes by.
#[test]
fn questions_change_nothing() {
    let platform = TestPlatform::with_engines(PLENTY, 4);
    let router = Router::start("r", &platform.store);
    let before = explain(&router, &question("f1"));
    let log_before = router.log();
    // More than the share covers: a request would have more requested, from the store and lenders.
    let large = ExplainCall {
        max_output_tokens: Some(PLENTY / 2),
        ..question("f1")
    };
    for _ in 0..50 {
        let placement = placement(&router, &large);
        assert_eq!(placement.decision.action, "wait");
        assert_eq!(placement.decision.waits[0].what, "exchange");
        explain(&router, &question("f1"));
    }
    let writes = router.answered_calls("write_shares");
    wait_for("two more exchanges", || {
        router.answered_calls("write_shares") > writes + 1
    });
    let after = explain(&router, &question("f1"));
    assert_eq!(before.money.granted, after.money.granted);
    assert_eq!(before.money.at_hand, after.money.at_hand);
    let state = |answer: &ExplainAnswer| serde_json::to_value(&answer.services).unwrap();
    assert_eq!(state(&before), state(&after));
    assert!(
        platform
            .engines
            .iter()
            .all(|e| e.received_requests().is_empty())
    );
    assert_eq!(router.log(), log_before);
    assert!(!router.metrics().contains("wisteriapass_refusals_total{"));
    assert_eq!(router.send(&request("f1")).unwrap().status, 200);
    let placement = placement(&router, &question("f1"));
    assert_eq!(
        placement.targets[0].prefix, "sent",
        "the request is remembered"
    );
}

/// Guards against targets whose absence from the choice is not explained, and against a refusal other
/// than the one that callers get.
#[test]
fn excluded_targets_are_listed_with_their_reasons() {
    let platform = TestPlatform::new(PLENTY);
    let [resting, far] = [0, 1].map(|n| &platform.plain[n]);
    let mut next = configuration(2, &[KEY], PLENTY);
    next["tenants"][0]["allowed_regions"] = json!(["here"]);
    let router = Router::start("r", &platform.store);
    resting.set_retry_after(Some("60"));
    resting.replace_behaviours(&[Behaviour::Shed]);
    reach(&router, resting, |id| Request::new(id, "/safe/x"), "q");
    resting.set_retry_after(None);
    let answered = placement(&router, &plain_question());
    assert_eq!(exclusion(&answered, resting).as_deref(), Some("resting"));
    assert_eq!(exclusion(&answered, far), None);
    let choice = answered.choice.unwrap();
    assert_eq!(choice.reason, "only_candidate");
    assert!(far.entry_key().ends_with(&choice.target));
    let entry = far.entry_in_domain("far", "plain", "ready", 0);
    platform.store.put(&far.entry_key(), entry);
    platform.configure(&next);
    wait_for("a region in which no target may serve", || {
        exclusion(&placement(&router, &plain_question()), far).as_deref() == Some("region")
    });
    let refusal = placement(&router, &plain_question()).decision.refusal;
    let refusal = refusal.unwrap();
    assert_eq!((refusal.reason.as_str(), refusal.status), ("resting", 503));
    assert!(refusal.retry_after_ms.unwrap() > 50_000);
    let answer = router.send(&Request::new("refused", "/safe/x")).unwrap();
    assert!(answer.status == 503 && answer.body.contains("resting"));
    let closed = far.entry_in_domain("z", "plain", "draining", 0);
    platform.store.put(&far.entry_key(), closed);
    wait_for("a target that leaves", || {
        exclusion(&placement(&router, &plain_question()), far).as_deref() == Some("closed")
    });
}

/// Guards against a decision on money that contradicts the one on the request.
#[test]
fn an_exhausted_total_is_explained() {
    let platform = TestPlatform::new(1_000);
    let router = Router::start("r", &platform.store);
    let answer = explain(&router, &question("f1"));
    assert_eq!(answer.money.total, Some(1_000));
    assert_eq!(answer.money.max_cost, Some(5_110));
    let refusal = answer.services[0].decision.refusal.clone().unwrap();
    assert_eq!(
        (refusal.reason.as_str(), refusal.status),
        ("budget_exhausted", 402)
    );
    assert!(
        answer.services[0].choice.is_some(),
        "the targets are explained"
    );
    assert_eq!(router.send(&request("f1")).unwrap().status, 402);
}

/// Guards against a follower that explains the money of a relay.
#[test]
fn a_follower_waits_for_a_grant() {
    let fleet = RelayFleet::start(PLENTY);
    let follower = &fleet.followers[0];
    let answer = explain(follower, &question("f1"));
    assert_eq!(answer.router.role, "follower");
    assert_eq!(answer.money.source, "credit");
    assert_eq!(answer.money.granted, None);
    let decision = &answer.services[0].decision;
    assert_eq!(decision.action, "wait");
    assert_eq!(decision.waits[0].what, "grant");
}

/// Guards against a saved request that is read otherwise than by the platform's adapter.
#[test]
fn a_saved_request_is_explained_as_its_fields_are() {
    let platform = TestPlatform::with_engines(PLENTY, 4);
    let router = Router::start("r", &platform.store);
    let text = request("f7").with_remaining(2_000).text();
    let saved = ExplainCall {
        head: Some(text.clone()),
        ..ExplainCall::default()
    };
    let (by_head, by_fields) = (explain(&router, &saved), explain(&router, &question("f7")));
    assert_eq!(by_head.request.account.as_deref(), Some("acme"));
    assert!((1..=2_000).contains(&by_head.request.remaining_ms));
    let choice = |answer: &ExplainAnswer| answer.services[0].choice.clone().unwrap().target;
    assert_eq!(choice(&by_head), choice(&by_fields));
    let without_key = text.replace("Authorization", "X-Removed");
    let mut call = ExplainCall {
        head: Some(without_key),
        ..ExplainCall::default()
    };
    assert_eq!(error_kind(&router, &call), "account_required");
    call.account = Some("acme".into());
    assert_eq!(choice(&explain(&router, &call)), choice(&by_fields));
}

#[test]
fn each_service_of_a_split_is_explained() {
    let platform = TestPlatform::new(PLENTY);
    let mut next = configuration(2, &[KEY], PLENTY);
    let split = json!([{"service": "plain", "weight": 3}, {"service": "absent", "weight": 1}]);
    next["routes"][1]["service"] = json!(null);
    next["routes"][1]["traffic_split"] = split;
    platform.configure(&next);
    let router = Router::start("r", &platform.store);
    let services = explain(&router, &plain_question()).services;
    let found = services.iter().map(|s| {
        let reason = s.decision.refusal.as_ref().map(|r| r.reason.as_str());
        (s.service.as_str(), s.share, reason)
    });
    let expected = [("plain", 0.75, None), ("absent", 0.25, Some("no_target"))];
    assert_eq!(found.collect::<Vec<_>>(), expected);
    assert!(services.iter().all(|s| s.hedge == "off"));
}

/// Guards against questions that are answered although they name nothing the router knows, or that it
/// cannot read.
#[test]
fn what_cannot_be_explained_is_an_error() {
    let platform = TestPlatform::new(PLENTY);
    let router = Router::start("r", &platform.store);
    let (known, none) = (plain_question(), ExplainCall::default());
    let changed = |change: fn(&mut ExplainCall)| {
        let mut call = known.clone();
        change(&mut call);
        call
    };
    let cases = [
        (
            changed(|c| c.host = Some("x.example".into())),
            "unknown_host",
        ),
        (changed(|c| c.path = Some("/none/x".into())), "unknown_path"),
        (
            changed(|c| c.account = Some("nobody".into())),
            "unknown_account",
        ),
        (changed(|c| c.account = None), "account_required"),
        (changed(|c| c.key = Some(KEY.into())), "malformed"),
        (
            changed(|c| c.head = Some("GET / HTTP/1.1".into())),
            "malformed",
        ),
        (
            changed(|c| c.max_output_tokens = Some(u64::MAX)),
            "malformed",
        ),
        (changed(|c| c.path = Some("/safe/\r\n".into())), "malformed"),
        (changed(|c| c.path = Some("x".repeat(200_000))), "too_large"),
        (none, "malformed"),
    ];
    for (call, kind) in cases {
        assert_eq!(error_kind(&router, &call), kind, "{call:?}");
    }
    let wrong_key = ExplainCall {
        key: Some("wrong".into()),
        ..changed(|c| c.account = None)
    };
    assert_eq!(error_kind(&router, &wrong_key), "unknown_key");
    for head in [
        "",
        "nonsense",
        "GET /safe/x\r\nHost h.example",
        "GET / HTTP/1.1\r\n\u{1}: x",
    ] {
        let saved = ExplainCall {
            head: Some(head.to_owned()),
            ..ExplainCall::default()
        };
        assert_eq!(error_kind(&router, &saved), "malformed", "{head:?}");
    }
    let port = router.readiness_address().port();
    let get = "GET /explain-placement HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
    assert_eq!(exchange(port, get).unwrap().status, 405);
    let body = "{\"host\": \"h.example\", \"priority\": 1}";
    let unknown_field = format!(
        "POST /explain-placement HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let answer = exchange(port, &unknown_field).unwrap();
    assert!(answer.status == 400 && answer.body.contains("priority"));
}

#[test]
fn a_router_without_a_configuration_says_so() {
    let store = SimulatedStore::start().unwrap();
    let mut router = Router::new("r", &store);
    router.spawn();
    wait_for("an answer of the router", || {
        !matches!(
            ask(router.readiness_address(), &plain_question()),
            Err(AskError::NoAnswer { .. })
        )
    });
    assert_eq!(error_kind(&router, &plain_question()), "not_configured");
}
