//! Retries with an idempotency key at another router, and calls that must not run twice.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use wisteriapass_bench::fleet::{AccountPlan, Fleet, FleetPlan, Program};
use wisteriapass_bench::standin::{Outage, PlatformFaults, Silence, TargetFaults, expected_answer};
use wisteriapass_coord::Millis;
use wisteriapass_daemon::api::Ran;
use wisteriapass_daemon::run_wire::{
    ChatRun, Dispatch, EngineFields, RUN_PATH, RunEvent, RunRequest,
};

const MODEL: &str = "wisteria-8b";

fn plan() -> FleetPlan {
    let program = Program::Tool(env!("CARGO_BIN_EXE_wisteriapass_bench").into());
    FleetPlan {
        accounts: vec![AccountPlan::new("acme").with_prepaid(1_000_000)],
        ..FleetPlan::new(program)
    }
}

fn slow_plan() -> FleetPlan {
    let mut plan = plan();
    plan.engine.time_per_token = Duration::from_millis(40);
    plan
}

fn chat(router: SocketAddr, prompt: &str, key: &str) -> minreq::Request {
    let body = json!({
        "model": MODEL,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": 100,
    });
    minreq::post(format!("http://{router}/v1/chat/completions"))
        .with_header("authorization", "Bearer key-of-acme")
        .with_header("idempotency-key", key)
        .with_body(body.to_string())
        .with_timeout(60)
}

fn write_record(router: SocketAddr, path: &str, key: &str) -> minreq::Request {
    minreq::put(format!("http://{router}/services/records/{path}"))
        .with_header("authorization", "Bearer key-of-acme")
        .with_header("idempotency-key", key)
        .with_header("x-wisteriapass-non-idempotent", "true")
        .with_body("seal")
        .with_timeout(60)
}

fn send(req: minreq::Request) -> (u16, Value) {
    let response = req.send().unwrap();
    let body = serde_json::from_slice(response.as_bytes()).unwrap();
    (response.status_code, body)
}

fn content(answer: &Value) -> &str {
    answer["choices"][0]["message"]["content"].as_str().unwrap()
}

fn engine_run_count(fleet: &Fleet) -> usize {
    fleet.engines().values().map(|e| e.executions().len()).sum()
}

fn service_call_count(fleet: &Fleet) -> usize {
    fleet.services().values().map(|s| s.calls().len()).sum()
}

/// Returns whether the server answered; minreq returns a response without headers when the
/// connection closes before one arrives.
fn is_answered(response: Result<minreq::Response, minreq::Error>) -> bool {
    response.is_ok_and(|r| !r.headers.is_empty())
}

/// Sends a chat to the first router, kills the router during the answer, and retries at the second.
fn retry_after_kill(fleet: &Fleet, prompt: &str) -> (u16, Value) {
    let routers = fleet.router_addrs();
    std::thread::scope(|s| {
        let first = s.spawn(|| chat(routers[0], prompt, "k1").send());
        std::thread::sleep(Duration::from_millis(600));
        fleet.daemon("router-1").unwrap().kill();
        assert!(!is_answered(first.join().unwrap()));
        send(chat(routers[1], prompt, "k1"))
    })
}

#[test]
fn retry_at_another_router_attaches_to_the_active_run() {
    let fleet = Fleet::start(slow_plan()).unwrap();
    let (status, response) = retry_after_kill(&fleet, "page tokens=50");
    assert_eq!(status, 200, "{response}");
    let expected = expected_answer(MODEL, "page tokens=50", 100).concat();
    assert_eq!(content(&response), expected);
    assert_eq!(engine_run_count(&fleet), 1);
}

#[test]
fn retry_of_an_active_run_needs_no_second_reservation() {
    let mut plan = slow_plan();
    // Enough tokens for one reservation only.
    plan.accounts = vec![AccountPlan::new("acme").with_prepaid(200)];
    let fleet = Fleet::start(plan).unwrap();
    let (status, response) = retry_after_kill(&fleet, "page tokens=50");
    assert_eq!(status, 200, "{response}");
    assert_eq!(engine_run_count(&fleet), 1);
}

#[test]
fn concurrent_retries_at_two_routers_share_one_run() {
    let fleet = Fleet::start(slow_plan()).unwrap();
    let routers = fleet.router_addrs();
    let answers: Vec<(u16, Value)> = std::thread::scope(|s| {
        let send_chat = |router| s.spawn(move || send(chat(router, "both tokens=30", "k2")));
        let pending: Vec<_> = routers.iter().map(|r| send_chat(*r)).collect();
        pending.into_iter().map(|a| a.join().unwrap()).collect()
    });
    for (status, response) in &answers {
        assert_eq!(*status, 200, "{response}");
        assert_eq!(content(response), content(&answers[0].1));
    }
    assert_eq!(engine_run_count(&fleet), 1);
}

#[test]
fn write_retried_at_another_router_takes_effect_once() {
    let fleet = Fleet::start(plan()).unwrap();
    let routers = fleet.router_addrs();
    let (status, first) = send(write_record(routers[0], "lots/7", "s1"));
    assert_eq!(status, 200, "{first}");
    let (status, second) = send(write_record(routers[1], "lots/7", "s1"));
    assert_eq!(status, 200, "{second}");
    assert_eq!(first, second);
    assert_eq!(service_call_count(&fleet), 1);
}

#[test]
fn write_without_a_claim_is_reported_as_not_run() {
    let fleet = Fleet::start(plan()).unwrap();
    let routers = fleet.router_addrs();
    fleet.platform().set_faults(PlatformFaults {
        outage: Outage::Refusing,
        ..PlatformFaults::default()
    });
    let (status, response) = send(write_record(routers[0], "lots/8", "s2"));
    assert_eq!(status, 503, "{response}");
    assert_eq!(
        response["error"]["reason"], "claim_unavailable",
        "{response}"
    );
    assert_eq!(response["error"]["ran"], "not_run", "{response}");
    assert_eq!(service_call_count(&fleet), 0);
}

#[test]
fn write_to_an_unresponsive_service_stays_outcome_unknown() {
    let fleet = Fleet::start(plan()).unwrap();
    let routers = fleet.router_addrs();
    let service = fleet.services().values().next().unwrap();
    service.set_faults(TargetFaults {
        silence: Silence::AfterStart,
        ..TargetFaults::default()
    });
    let (_, first) = send(write_record(routers[0], "lots/9", "s3"));
    assert_eq!(first["error"]["ran"], "outcome_unknown", "{first}");
    service.set_faults(TargetFaults::default());
    let (_, second) = send(write_record(routers[1], "lots/9", "s3"));
    assert_eq!(second["error"]["ran"], "outcome_unknown", "{second}");
    assert_eq!(service_call_count(&fleet), 1);
}

#[test]
fn write_is_unknown_and_never_rerun_after_its_side_process_died() {
    let mut plan = plan();
    plan.service.call_ms = 2_000;
    let fleet = Fleet::start(plan).unwrap();
    let routers = fleet.router_addrs();
    let (first, second) = std::thread::scope(|s| {
        let first = s.spawn(|| send(write_record(routers[0], "lots/5", "s4")));
        std::thread::sleep(Duration::from_millis(700));
        let mut side = fleet.daemon("service-1").unwrap();
        side.kill();
        std::thread::sleep(Duration::from_millis(300));
        side.start().unwrap();
        drop(side);
        fleet.wait_ready().unwrap();
        let first = first.join().unwrap();
        (first, send(write_record(routers[1], "lots/5", "s4")))
    });
    assert_eq!(first.1["error"]["ran"], "outcome_unknown", "{}", first.1);
    assert_eq!(second.1["error"]["ran"], "outcome_unknown", "{}", second.1);
    assert_eq!(service_call_count(&fleet), 1);
}

#[test]
fn write_is_unknown_when_the_service_closes_without_an_answer() {
    let fleet = Fleet::start(plan()).unwrap();
    let routers = fleet.router_addrs();
    let service = fleet.services().values().next().unwrap();
    service.set_faults(TargetFaults {
        resets: 1,
        ..TargetFaults::default()
    });
    let (_, response) = send(write_record(routers[0], "lots/6", "s5"));
    assert_eq!(response["error"]["ran"], "outcome_unknown", "{response}");
    assert_eq!(service_call_count(&fleet), 1);
}

#[test]
fn write_is_unknown_when_the_link_to_the_target_closes() {
    let mut plan = plan();
    plan.service.call_ms = 1_500;
    let fleet = Fleet::start(plan).unwrap();
    let routers = fleet.router_addrs();
    let (_, response) = std::thread::scope(|s| {
        let pending = s.spawn(|| send(write_record(routers[0], "lots/4", "s6")));
        std::thread::sleep(Duration::from_millis(500));
        fleet.network().close_open_connections("service-1/target");
        pending.join().unwrap()
    });
    assert_eq!(response["error"]["ran"], "outcome_unknown", "{response}");
}

#[test]
fn completed_write_is_never_reported_as_not_run_after_all_side_processes_restarted() {
    let fleet = Fleet::start(plan()).unwrap();
    let routers = fleet.router_addrs();
    let (status, first) = send(write_record(routers[0], "lots/3", "s7"));
    assert_eq!(status, 200, "{first}");
    // The owner and the homes of the key lose their state; only the claim in the key-value service
    // is left.
    for name in fleet.side_names() {
        let mut side = fleet.daemon(&name).unwrap();
        side.kill();
        std::thread::sleep(Duration::from_millis(300));
        side.start().unwrap();
    }
    fleet.wait_ready().unwrap();
    fleet.daemon("service-1").unwrap().kill();
    let (_, again) = send(write_record(routers[1], "lots/3", "s7"));
    assert_eq!(again["error"]["ran"], "outcome_unknown", "{again}");
    assert_eq!(service_call_count(&fleet), 1);
}

#[test]
fn delayed_dispatch_is_refused_and_never_runs() {
    let fleet = Fleet::start(plan()).unwrap();
    let side = fleet.document().inventory.target[0].side;
    let delayed = Dispatch {
        run: "k/acme/late".into(),
        fingerprint: String::new(),
        attempt: 1,
        incarnation: String::new(),
        router: "router-1".into(),
        account: "acme".into(),
        payment: None,
        idempotent: true,
        keyed: true,
        start_by: Millis(1),
        revision: 1,
        request: RunRequest::Chat(ChatRun {
            model: MODEL.into(),
            messages: Vec::new(),
            max_tokens: 5,
            priority: 1,
            other: EngineFields::default(),
        }),
        from: 0,
    };
    let response = minreq::post(format!("http://{side}{RUN_PATH}"))
        .with_body(serde_json::to_string(&delayed).unwrap())
        .with_timeout(10)
        .send()
        .unwrap();
    let event: RunEvent = serde_json::from_slice(response.as_bytes()).unwrap();
    let RunEvent::Refused { refusal } = event else {
        panic!("{event:?}");
    };
    assert_eq!(refusal.ran, Ran::NotRun, "{refusal}");
    assert_eq!(engine_run_count(&fleet), 0);
}

/// Returns a fleet in which all targets but `killed` are draining and the side process of `killed`
/// was killed without notice.
///
/// The side processes of the draining targets still serve as homes of keys. Before the kill,
/// `warm_up` sends each router a request that runs at `killed`.
fn fleet_with_killed_target(plan: FleetPlan, killed: &str, warm_up: impl Fn(SocketAddr)) -> Fleet {
    // A simulated link would accept a dispatch on behalf of the killed process.
    let plan = FleetPlan {
        linked: false,
        ..plan
    };
    let fleet = Fleet::start(plan).unwrap();
    let mut document = fleet.document();
    for target in &mut document.inventory.target {
        target.draining = target.name != killed;
    }
    fleet.apply(document).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    fleet.router_addrs().into_iter().for_each(warm_up);
    fleet.daemon(killed).unwrap().kill();
    fleet
}

/// Sends the same request to one router after the other, and returns the `ran` value of each
/// refusal.
fn refused_ran(fleet: &Fleet, request: impl Fn(SocketAddr) -> minreq::Request) -> Vec<String> {
    let ask = |router| {
        let (status, response) = send(request(router));
        assert_eq!(status, 503, "{response}");
        response["error"]["ran"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    };
    fleet.router_addrs().into_iter().map(ask).collect()
}

#[test]
fn chat_not_run_by_one_router_is_reported_as_not_run_by_the_next() {
    let chat = |router, key: &str| chat(router, "page tokens=5", key);
    let warm_up = |router| assert_eq!(send(chat(router, &format!("warm-{router}"))).0, 200);
    let fleet = fleet_with_killed_target(plan(), "engine-2", warm_up);
    assert_eq!(
        refused_ran(&fleet, |router| chat(router, "k9")),
        ["not_run"; 2]
    );
}

#[test]
fn write_not_run_by_one_router_is_reported_as_not_run_by_the_next() {
    let plan = FleetPlan {
        services: 2,
        ..plan()
    };
    let warm_up = |router| {
        let sent = write_record(router, "cert", &format!("warm-{router}")).send();
        assert!(is_answered(sent));
    };
    let fleet = fleet_with_killed_target(plan, "service-2", warm_up);
    let write = |router| write_record(router, "cert", "k9");
    assert_eq!(refused_ran(&fleet, write), ["not_run"; 2]);
}
