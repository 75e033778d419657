//! End-to-end requests through separate processes: caller, router, side process and target.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::{Value, json};
use wisteriapass_bench::fleet::{BUDGET, Fleet, FleetPlan, Program};
use wisteriapass_bench::link::LinkFaults;
use wisteriapass_bench::standin::{Outage, PlatformFaults, TargetFaults, expected_answer};
use wisteriapass_coord::budget::{BudgetId, Journal, Ledger, Origin, Shards, Tokens, TopupId};

const MODEL: &str = "wisteria-8b";
const KEY: &str = "Bearer key-of-acme";

fn plan() -> FleetPlan {
    FleetPlan {
        routers: 1,
        engines: 1,
        ..FleetPlan::new(Program::Tool(
            env!("CARGO_BIN_EXE_wisteriapass_bench").into(),
        ))
    }
}

fn chat_body(prompt: &str, max_tokens: u64) -> Value {
    json!({
        "model": MODEL,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
    })
}

fn post(router: SocketAddr, path: &str, body: impl Into<Vec<u8>>) -> minreq::Request {
    minreq::post(format!("http://{router}{path}"))
        .with_header("authorization", KEY)
        .with_body(body)
        .with_timeout(60)
}

fn chat(router: SocketAddr, body: &Value) -> minreq::Request {
    post(router, "/v1/chat/completions", body.to_string())
}

fn send(req: minreq::Request) -> (u16, Value) {
    let response = req.send().unwrap();
    (
        response.status_code,
        serde_json::from_slice(response.as_bytes()).unwrap(),
    )
}

fn content(answer: &Value) -> &str {
    answer["choices"][0]["message"]["content"].as_str().unwrap()
}

fn expected_content(prompt: &str, max_tokens: u32) -> String {
    expected_answer(MODEL, prompt, max_tokens).concat()
}

/// Starts a fleet whose account has a large prepaid budget.
fn start(plan: FleetPlan) -> Fleet {
    let fleet = Fleet::start(plan).unwrap();
    top_up(&fleet, "opening", 1_000_000);
    fleet
}

fn top_up(fleet: &Fleet, id: &str, amount: u64) {
    let journal = Journal::new(Origin(0), Shards::default());
    let ledger = Ledger::new(fleet.platform().store(), &journal);
    let budget = BudgetId::new("acme", BUDGET);
    ledger
        .topup(&budget, &TopupId(id.into()), Tokens(amount))
        .unwrap();
}

/// Returns the text of a streamed answer and whether it ended with `[DONE]`.
fn parse_stream(text: &str) -> (String, bool) {
    let mut events = text.lines().filter_map(|l| l.strip_prefix("data: "));
    let chunks: Vec<Value> = events
        .clone()
        .filter_map(|e| serde_json::from_str(e).ok())
        .collect();
    let pieces = chunks
        .iter()
        .filter_map(|c| c["choices"][0]["delta"]["content"].as_str());
    (pieces.collect(), events.next_back() == Some("[DONE]"))
}

#[test]
fn chat_answers_are_complete_with_and_without_streaming() {
    let fleet = start(plan());
    let router = fleet.router_addrs()[0];
    let (status, response) = send(chat(router, &chat_body("a page tokens=7", 50)));
    assert_eq!(status, 200, "{response}");
    assert_eq!(content(&response), expected_content("a page tokens=7", 50));
    assert_eq!(response["usage"]["completion_tokens"], 7);

    let mut body = chat_body("a space tokens=9", 50);
    body["stream"] = true.into();
    let response = chat(router, &body).send().unwrap();
    let (text, is_done) = parse_stream(response.as_str().unwrap());
    assert_eq!(text, expected_content("a space tokens=9", 50));
    assert!(is_done);
}

#[test]
fn service_call_is_forwarded_with_method_and_path() {
    let fleet = start(plan());
    let router = fleet.router_addrs()[0];
    let req = minreq::put(format!("http://{router}/services/records/lots/7?a=b"))
        .with_header("authorization", KEY)
        .with_header("idempotency-key", "lot-7")
        .with_header("x-wisteriapass-non-idempotent", "true")
        .with_body("seal")
        .with_timeout(30);
    let response = req.send().unwrap();
    assert_eq!(response.status_code, 200, "{:?}", response.as_str());
    let ran = fleet.services().values().next().unwrap().calls();
    assert_eq!(ran.len(), 1);
    assert_eq!(ran[0].method, "PUT");
    assert_eq!(ran[0].path, "/records/lots/7?a=b");
}

#[test]
fn invalid_input_is_refused_with_a_reason_and_not_run() {
    let fleet = start(plan());
    let router = fleet.router_addrs()[0];
    let chat_path = "/v1/chat/completions";
    let huge = vec![b'x'; (1 << 20) + 1];
    let cases: [(&str, minreq::Request); 10] = [
        ("bad_request", post(router, chat_path, "{")),
        ("bad_request", post(router, chat_path, [0xff, 0xfe])),
        ("bad_request", chat(router, &chat_body("p", 0))),
        ("bad_request", chat(router, &chat_body("p", u64::MAX))),
        ("bad_request", post(router, "/nowhere", "{}")),
        ("body_too_large", post(router, chat_path, huge)),
        (
            "unauthorized",
            minreq::post(format!("http://{router}{chat_path}"))
                .with_header("authorization", "Bearer no")
                .with_body(chat_body("p", 5).to_string()),
        ),
        (
            "unknown_model",
            post(
                router,
                chat_path,
                chat_body("p", 5).to_string().replace(MODEL, "other"),
            ),
        ),
        (
            "key_required",
            chat(router, &chat_body("p", 5)).with_header("x-wisteriapass-non-idempotent", "true"),
        ),
        (
            "bad_request",
            chat(router, &chat_body("p", 5)).with_header("x-wisteriapass-deadline-ms", "-5"),
        ),
    ];
    for (reason, req) in cases {
        let (status, response) = send(req);
        assert!(status >= 400, "{response}");
        assert_eq!(response["error"]["reason"], reason, "{response}");
        assert_eq!(response["error"]["ran"], "not_run", "{response}");
        assert!(
            !response["error"]["remedy"].as_str().unwrap().is_empty(),
            "{response}"
        );
    }
    for engine in fleet.engines().values() {
        assert_eq!(engine.executions(), Vec::new());
    }
}

#[test]
fn repeated_idempotency_key_gets_the_answer_of_the_first_run() {
    let fleet = start(plan());
    let router = fleet.router_addrs()[0];
    let ask = || chat(router, &chat_body("once tokens=5", 50)).with_header("idempotency-key", "k1");
    let (_, first) = send(ask());
    let (_, second) = send(ask());
    assert_eq!(content(&first), content(&second));
    let runs: usize = fleet.engines().values().map(|e| e.executions().len()).sum();
    assert_eq!(runs, 1);
    let other = chat(router, &chat_body("another", 50)).with_header("idempotency-key", "k1");
    let (_, reused) = send(other);
    assert_eq!(reused["error"]["reason"], "key_reused", "{reused}");
}

#[test]
fn stalled_connection_is_replaced_and_the_answer_stays_complete() {
    let mut plan = plan();
    plan.engine.time_per_token = Duration::from_millis(40);
    let fleet = start(plan);
    let router = fleet.router_addrs()[0];
    std::thread::scope(|s| {
        let pending = s.spawn(|| send(chat(router, &chat_body("silent tokens=60", 100))));
        std::thread::sleep(Duration::from_millis(800));
        fleet.network().blackhole_open_connections("engine-1");
        let (status, response) = pending.join().unwrap();
        assert_eq!(status, 200, "{response}");
        assert_eq!(
            content(&response),
            expected_content("silent tokens=60", 100)
        );
    });
    assert_eq!(fleet.engines()["engine-1"].executions().len(), 1);
}

#[test]
fn truncated_engine_stream_is_resumed() {
    let fleet = start(plan());
    let router = fleet.router_addrs()[0];
    let engine = &fleet.engines()["engine-1"];
    engine.set_faults(TargetFaults {
        cuts: 1,
        ..TargetFaults::default()
    });
    let (status, response) = send(chat(router, &chat_body("cut tokens=20", 100)));
    assert_eq!(status, 200, "{response}");
    assert_eq!(content(&response), expected_content("cut tokens=20", 100));
    assert_eq!(engine.executions().len(), 1);
}

#[test]
fn answer_to_another_request_is_never_forwarded() {
    let fleet = start(plan());
    let router = fleet.router_addrs()[0];
    let engine = &fleet.engines()["engine-1"];
    engine.set_faults(TargetFaults {
        crossed: 1,
        ..TargetFaults::default()
    });
    let (status, response) = send(chat(router, &chat_body("mine tokens=6", 100)));
    assert_eq!(status, 200, "{response}");
    assert_eq!(content(&response), expected_content("mine tokens=6", 100));
}

#[test]
fn unreachable_side_process_is_reported_as_not_run() {
    // A simulated link would accept the connection and close it; without links it is refused.
    let fleet = start(FleetPlan {
        linked: false,
        ..plan()
    });
    let router = fleet.router_addrs()[0];
    fleet.daemon("engine-1").unwrap().kill();
    let (status, response) = send(chat(router, &chat_body("p", 5)));
    assert_eq!(status, 503, "{response}");
    assert_eq!(response["error"]["ran"], "not_run", "{response}");
    assert!(response["error"]["retry_after_ms"].as_u64().unwrap() > 0);
    assert_eq!(fleet.engines()["engine-1"].executions(), Vec::new());
}

#[test]
fn link_lost_during_an_answer_is_reported_as_outcome_unknown() {
    let mut plan = plan();
    plan.engine.time_per_token = Duration::from_millis(40);
    let fleet = start(plan);
    let router = fleet.router_addrs()[0];
    std::thread::scope(|s| {
        let pending = s.spawn(|| send(chat(router, &chat_body("lost tokens=60", 100))));
        std::thread::sleep(Duration::from_millis(800));
        fleet
            .network()
            .set_faults("router-1", "engine-1", LinkFaults::closed());
        let (_, response) = pending.join().unwrap();
        assert_eq!(response["error"]["ran"], "outcome_unknown", "{response}");
    });
}

#[test]
fn exhausted_budget_refuses_requests_until_topped_up() {
    let fleet = Fleet::start(plan()).unwrap();
    let router = fleet.router_addrs()[0];
    let ask = || send(chat(router, &chat_body("page tokens=40", 40)));
    let (status, response) = ask();
    assert_eq!(status, 402, "{response}");
    assert_eq!(response["error"]["reason"], "budget_exhausted");
    assert_eq!(response["error"]["ran"], "not_run");

    top_up(&fleet, "first", 200);
    std::thread::sleep(Duration::from_millis(600));
    let mut spent = 0;
    loop {
        let (status, response) = ask();
        if status == 402 {
            break;
        }
        assert_eq!(status, 200, "{response}");
        spent += response["usage"]["billed_tokens"].as_u64().unwrap();
    }
    assert!((130..=200).contains(&spent), "{spent}");
    top_up(&fleet, "second", 200);
    std::thread::sleep(Duration::from_millis(600));
    assert_eq!(ask().0, 200);
}

#[test]
fn router_without_tokens_borrows_during_a_platform_outage() {
    let fleet = start(FleetPlan {
        routers: 2,
        ..plan()
    });
    let routers = fleet.router_addrs();
    let ask = |router| send(chat(router, &chat_body("page tokens=40", 40)));
    assert_eq!(ask(routers[0]).0, 200);
    fleet.platform().set_faults(PlatformFaults {
        outage: Outage::Closing,
        ..PlatformFaults::default()
    });
    let (status, response) = ask(routers[1]);
    assert_eq!(status, 200, "{response}");
}

#[test]
fn truncated_service_response_is_not_forwarded_as_complete() {
    let fleet = start(plan());
    let router = fleet.router_addrs()[0];
    let service = fleet.services().values().next().unwrap();
    // Returns the raw response, to check whether it has the final chunk of a complete one.
    let read_response = || {
        let mut stream = TcpStream::connect(router).unwrap();
        let head = "GET /services/records/lots/7 HTTP/1.1\r\nhost: records\r\n";
        let other_headers = format!("authorization: {KEY}\r\nconnection: close\r\n\r\n");
        stream
            .write_all((head.to_owned() + &other_headers).as_bytes())
            .unwrap();
        let mut response = Vec::new();
        let _ = stream.read_to_end(&mut response);
        String::from_utf8(response).unwrap()
    };
    let complete = read_response();
    assert!(complete.ends_with("0\r\n\r\n"), "{complete}");
    service.set_faults(TargetFaults {
        cuts: 1,
        ..TargetFaults::default()
    });
    let truncated = read_response();
    assert!(!truncated.ends_with("0\r\n\r\n"), "{truncated}");
}
