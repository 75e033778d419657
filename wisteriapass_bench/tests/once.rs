//! Keyed requests that are repeated at another router, and those that may not run twice.

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

fn save(router: SocketAddr, path: &str, key: &str) -> minreq::Request {
    minreq::put(format!("http://{router}/services/records/{path}"))
        .with_header("authorization", "Bearer key-of-acme")
        .with_header("idempotency-key", key)
        .with_header("x-wisteriapass-non-idempotent", "true")
        .with_body("seal")
        .with_timeout(60)
}

fn answer(req: minreq::Request) -> (u16, Value) {
    let answer = req.send().unwrap();
    let body = serde_json::from_slice(answer.as_bytes()).unwrap();
    (answer.status_code, body)
}

fn content(answer: &Value) -> &str {
    answer["choices"][0]["message"]["content"].as_str().unwrap()
}

fn runs(fleet: &Fleet) -> usize {
    fleet.engines().values().map(|e| e.executions().len()).sum()
}

fn calls(fleet: &Fleet) -> usize {
    fleet.services().values().map(|s| s.calls().len()).sum()
}

/// Returns whether there was an answer; minreq makes one up for a closed connection.
fn is_answered(answer: Result<minreq::Response, minreq::Error>) -> bool {
    answer.is_ok_and(|a| !a.headers.is_empty())
}

/// Asks the first router, kills it in mid answer, and asks the second.
fn repeat_after_kill(fleet: &Fleet, prompt: &str) -> (u16, Value) {
    let routers = fleet.router_addrs();
    std::thread::scope(|s| {
        let first = s.spawn(|| chat(routers[0], prompt, "k1").send());
        std::thread::sleep(Duration::from_millis(600));
        fleet.daemon("router-1").unwrap().kill();
        assert!(!is_answered(first.join().unwrap()));
        answer(chat(routers[1], prompt, "k1"))
    })
}

#[test]
fn a_repeat_at_another_router_follows_the_run_that_goes_on() {
    let fleet = Fleet::start(slow_plan()).unwrap();
    let (status, got) = repeat_after_kill(&fleet, "page tokens=50");
    assert_eq!(status, 200, "{got}");
    let whole = expected_answer(MODEL, "page tokens=50", 100).concat();
    assert_eq!(content(&got), whole);
    assert_eq!(runs(&fleet), 1);
}

#[test]
fn a_repeat_of_what_runs_is_not_refused_for_money() {
    let mut plan = slow_plan();
    // Enough for one reservation.
    plan.accounts = vec![AccountPlan::new("acme").with_prepaid(200)];
    let fleet = Fleet::start(plan).unwrap();
    let (status, got) = repeat_after_kill(&fleet, "page tokens=50");
    assert_eq!(status, 200, "{got}");
    assert_eq!(runs(&fleet), 1);
}

#[test]
fn concurrent_repeats_at_two_routers_share_one_run() {
    let fleet = Fleet::start(slow_plan()).unwrap();
    let routers = fleet.router_addrs();
    let answers: Vec<(u16, Value)> = std::thread::scope(|s| {
        let ask = |router| s.spawn(move || answer(chat(router, "both tokens=30", "k2")));
        let asked: Vec<_> = routers.iter().map(|r| ask(*r)).collect();
        asked.into_iter().map(|a| a.join().unwrap()).collect()
    });
    for (status, got) in &answers {
        assert_eq!(*status, 200, "{got}");
        assert_eq!(content(got), content(&answers[0].1));
    }
    assert_eq!(runs(&fleet), 1);
}

#[test]
fn a_save_repeated_at_another_router_takes_effect_once() {
    let fleet = Fleet::start(plan()).unwrap();
    let routers = fleet.router_addrs();
    let (status, first) = answer(save(routers[0], "lots/7", "s1"));
    assert_eq!(status, 200, "{first}");
    let (status, second) = answer(save(routers[1], "lots/7", "s1"));
    assert_eq!(status, 200, "{second}");
    assert_eq!(first, second);
    assert_eq!(calls(&fleet), 1);
}

#[test]
fn a_save_without_a_claim_is_a_truthful_not_run() {
    let fleet = Fleet::start(plan()).unwrap();
    let routers = fleet.router_addrs();
    fleet.platform().set_faults(PlatformFaults {
        outage: Outage::Refusing,
        ..PlatformFaults::default()
    });
    let (status, got) = answer(save(routers[0], "lots/8", "s2"));
    assert_eq!(status, 503, "{got}");
    assert_eq!(got["error"]["reason"], "claim_unavailable", "{got}");
    assert_eq!(got["error"]["ran"], "not_run", "{got}");
    assert_eq!(calls(&fleet), 0);
}

#[test]
fn a_save_whose_service_went_silent_is_unknown_and_stays_so() {
    let fleet = Fleet::start(plan()).unwrap();
    let routers = fleet.router_addrs();
    let service = fleet.services().values().next().unwrap();
    service.set_faults(TargetFaults {
        silence: Silence::AfterStart,
        ..TargetFaults::default()
    });
    let (_, first) = answer(save(routers[0], "lots/9", "s3"));
    assert_eq!(first["error"]["ran"], "outcome_unknown", "{first}");
    service.set_faults(TargetFaults::default());
    let (_, second) = answer(save(routers[1], "lots/9", "s3"));
    assert_eq!(second["error"]["ran"], "outcome_unknown", "{second}");
    assert_eq!(calls(&fleet), 1);
}

#[test]
fn a_save_whose_side_process_died_is_unknown_and_never_repeated() {
    let mut plan = plan();
    plan.service.call_ms = 2_000;
    let fleet = Fleet::start(plan).unwrap();
    let routers = fleet.router_addrs();
    let (first, second) = std::thread::scope(|s| {
        let first = s.spawn(|| answer(save(routers[0], "lots/5", "s4")));
        std::thread::sleep(Duration::from_millis(700));
        let mut side = fleet.daemon("service-1").unwrap();
        side.kill();
        std::thread::sleep(Duration::from_millis(300));
        side.start().unwrap();
        drop(side);
        fleet.wait_ready().unwrap();
        let first = first.join().unwrap();
        (first, answer(save(routers[1], "lots/5", "s4")))
    });
    assert_eq!(first.1["error"]["ran"], "outcome_unknown", "{}", first.1);
    assert_eq!(second.1["error"]["ran"], "outcome_unknown", "{}", second.1);
    assert_eq!(calls(&fleet), 1);
}

#[test]
fn a_save_whose_connection_closes_without_an_answer_is_unknown() {
    let fleet = Fleet::start(plan()).unwrap();
    let routers = fleet.router_addrs();
    let service = fleet.services().values().next().unwrap();
    service.set_faults(TargetFaults {
        resets: 1,
        ..TargetFaults::default()
    });
    let (_, got) = answer(save(routers[0], "lots/6", "s5"));
    assert_eq!(got["error"]["ran"], "outcome_unknown", "{got}");
    assert_eq!(calls(&fleet), 1);
}

#[test]
fn a_save_whose_link_to_the_target_closes_is_unknown() {
    let mut plan = plan();
    plan.service.call_ms = 1_500;
    let fleet = Fleet::start(plan).unwrap();
    let routers = fleet.router_addrs();
    let (_, got) = std::thread::scope(|s| {
        let asked = s.spawn(|| answer(save(routers[0], "lots/4", "s6")));
        std::thread::sleep(Duration::from_millis(500));
        fleet.network().close_open_connections("service-1/target");
        asked.join().unwrap()
    });
    assert_eq!(got["error"]["ran"], "outcome_unknown", "{got}");
}

#[test]
fn a_save_that_ran_is_never_said_not_to_have_run_after_all_side_processes_were_replaced() {
    let fleet = Fleet::start(plan()).unwrap();
    let routers = fleet.router_addrs();
    let (status, first) = answer(save(routers[0], "lots/3", "s7"));
    assert_eq!(status, 200, "{first}");
    // Owner and homes lose their memory; only the claim in the service is left.
    for name in fleet.side_names() {
        let mut side = fleet.daemon(&name).unwrap();
        side.kill();
        std::thread::sleep(Duration::from_millis(300));
        side.start().unwrap();
    }
    fleet.wait_ready().unwrap();
    fleet.daemon("service-1").unwrap().kill();
    let (_, again) = answer(save(routers[1], "lots/3", "s7"));
    assert_eq!(again["error"]["ran"], "outcome_unknown", "{again}");
    assert_eq!(calls(&fleet), 1);
}

#[test]
fn a_dispatch_that_was_held_up_never_runs() {
    let fleet = Fleet::start(plan()).unwrap();
    let side = fleet.document().inventory.target[0].side;
    let late = Dispatch {
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
    let answer = minreq::post(format!("http://{side}{RUN_PATH}"))
        .with_body(serde_json::to_string(&late).unwrap())
        .with_timeout(10)
        .send()
        .unwrap();
    let event: RunEvent = serde_json::from_slice(answer.as_bytes()).unwrap();
    let RunEvent::Refused { refusal } = event else {
        panic!("{event:?}");
    };
    assert_eq!(refusal.ran, Ran::NotRun, "{refusal}");
    assert_eq!(runs(&fleet), 0);
}

/// Returns a fleet whose targets are homes and take no work, but for one, which has just ended
/// without a word; `warm` asks a router for something that ran there.
fn fleet_without_a_target(plan: FleetPlan, gone: &str, warm: impl Fn(SocketAddr)) -> Fleet {
    // A link would take a dispatch that the ended process cannot.
    let plan = FleetPlan {
        linked: false,
        ..plan
    };
    let fleet = Fleet::start(plan).unwrap();
    let mut document = fleet.document();
    for target in &mut document.inventory.target {
        target.draining = target.name != gone;
    }
    fleet.apply(document).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    fleet.router_addrs().into_iter().for_each(warm);
    fleet.daemon(gone).unwrap().kill();
    fleet
}

/// Asks one router after the other for the same, and returns what each says of the run.
fn refusals(fleet: &Fleet, request: impl Fn(SocketAddr) -> minreq::Request) -> Vec<String> {
    let ask = |router| {
        let (status, got) = answer(request(router));
        assert_eq!(status, 503, "{got}");
        got["error"]["ran"].as_str().unwrap_or_default().to_owned()
    };
    fleet.router_addrs().into_iter().map(ask).collect()
}

#[test]
fn what_one_router_did_not_run_is_no_unknown_outcome_at_the_next() {
    let chat = |router, key: &str| chat(router, "page tokens=5", key);
    let warm = |router| assert_eq!(answer(chat(router, &format!("warm-{router}"))).0, 200);
    let fleet = fleet_without_a_target(plan(), "engine-2", warm);
    assert_eq!(
        refusals(&fleet, |router| chat(router, "k9")),
        ["not_run"; 2]
    );
}

#[test]
fn a_save_that_one_router_did_not_run_is_no_unknown_outcome_at_the_next() {
    let plan = FleetPlan {
        services: 2,
        ..plan()
    };
    let warm = |router| {
        let sent = save(router, "cert", &format!("warm-{router}")).send();
        assert!(is_answered(sent));
    };
    let fleet = fleet_without_a_target(plan, "service-2", warm);
    let save = |router| save(router, "cert", "k9");
    assert_eq!(refusals(&fleet, save), ["not_run"; 2]);
}
