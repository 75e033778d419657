//! The operators' tool against a platform and daemons as separate processes.

use std::thread::sleep;
use std::time::{Duration, Instant};

use gumdrop::{Options, ParsingStyle};
use serde_json::{Value, json};
use wisteriapass::args::Args;
use wisteriapass::control::HttpControl;
use wisteriapass::{Context, Exit, Output, budgets};
use wisteriapass_bench::fleet::{Fleet, FleetPlan, Program};
use wisteriapass_bench::standin::PlatformFaults;
use wisteriapass_coord::store::HttpStore;

/// Longest wait for the fleet to follow, in seconds.
const FOLLOW_S: u64 = 10;

/// Pause between two looks at the fleet, in milliseconds.
const LOOK_MS: u64 = 20;

fn start() -> Fleet {
    let program = Program::Tool(env!("CARGO_BIN_EXE_wisteriapass_bench").into());
    let plan = FleetPlan {
        routers: 1,
        engines: 2,
        services: 0,
        linked: false,
        ..FleetPlan::new(program)
    };
    Fleet::start(plan).unwrap()
}

/// Runs a command of the tool against a fleet.
fn tool(fleet: &Fleet, args: &[&str]) -> (Exit, Value) {
    let args = Args::parse_args(args, ParsingStyle::AllOptions).unwrap();
    let store = HttpStore::new(fleet.platform().addr().to_string());
    let control = HttpControl::new().unwrap();
    let mut out = Vec::new();
    let mut cx = Context::new(
        &store,
        &control,
        Output::new(&mut out, true),
        std::io::empty(),
    );
    let exit = wisteriapass::run(&mut cx, &args);
    drop(cx);
    (exit, serde_json::from_slice(&out).unwrap())
}

/// Waits until the newest revision is in force everywhere.
fn follow(fleet: &Fleet) {
    let deadline = Instant::now() + Duration::from_secs(FOLLOW_S);
    while tool(fleet, &["show", "revision"]).0 != Exit::Success {
        assert!(Instant::now() < deadline, "the fleet does not follow");
        sleep(Duration::from_millis(LOOK_MS));
    }
}

/// Sends a request and returns the answer's status and body.
fn ask(fleet: &Fleet) -> (u16, Value) {
    let body = json!({
        "model": "wisteria-8b",
        "messages": [{"role": "user", "content": "hello"}],
        "max_tokens": 4,
    });
    let answer = minreq::post(format!(
        "http://{}/v1/chat/completions",
        fleet.router_addrs()[0]
    ))
    .with_header("authorization", "Bearer key-of-acme")
    .with_header("x-wisteriapass-deadline-ms", "2000")
    .with_body(body.to_string())
    .with_timeout(30)
    .send()
    .unwrap();
    let body = serde_json::from_slice(answer.as_bytes()).unwrap();
    (answer.status_code, body)
}

#[test]
fn a_drained_target_gets_no_new_work_until_it_is_taken_back() {
    let fleet = start();
    tool(&fleet, &["topup", "acme/main", "100000", "--id", "first"]);
    tool(&fleet, &["drain", "engine-1"]);
    follow(&fleet);
    for _ in 0..5 {
        assert_eq!(ask(&fleet).0, 200);
    }
    assert_eq!(fleet.engines()["engine-1"].ran().len(), 0);
    assert_eq!(fleet.engines()["engine-2"].ran().len(), 5);

    let (_, said) = tool(&fleet, &["drain", "vm-engine-2"]);
    assert_eq!(said["notes"][0]["note"], "all-draining");
    follow(&fleet);
    let (status, refused) = ask(&fleet);
    assert_eq!((status, &refused["error"]["ran"]), (503, &"not_run".into()));
    let (exit, said) = tool(&fleet, &["show", "refusals"]);
    assert_eq!(exit, Exit::Success);
    assert_eq!(
        said["reasons"],
        json!([{"reason": "no_target", "count": 1}])
    );

    tool(&fleet, &["undrain", "engine-2"]);
    follow(&fleet);
    assert_eq!(ask(&fleet).0, 200);
}

#[test]
fn lost_answers_neither_double_an_edit_nor_a_topup() {
    let fleet = start();
    fleet.platform().set_faults(PlatformFaults {
        lost_answers: 0.5,
        ..PlatformFaults::default()
    });
    for n in 0..4 {
        let id = format!("invoice-{n}");
        let topup = ["topup", "acme/main", "1000", "--id", &id];
        while tool(&fleet, &topup).0 == Exit::OutcomeUnknown {}
        let drain = ["drain", "engine-1", "--op", &format!("drain-{n}")];
        while tool(&fleet, &drain).0 == Exit::OutcomeUnknown {}
        let undrain = ["undrain", "engine-1", "--op", &format!("undrain-{n}")];
        while tool(&fleet, &undrain).0 == Exit::OutcomeUnknown {}
    }
    fleet.platform().set_faults(PlatformFaults::default());
    let totals = budgets::totals(fleet.platform().store()).unwrap();
    assert_eq!(totals[0].prepaid.0, 4_000);
    let (_, said) = tool(&fleet, &["show", "revision"]);
    assert_eq!(said["expected"], 1 + 2 * 4);
}

#[test]
fn a_daemon_that_is_gone_is_named() {
    let fleet = start();
    fleet.daemon("engine-2").unwrap().kill();
    let (exit, said) = tool(&fleet, &["show", "revision"]);
    assert_eq!((exit, &said["in_force"]), (Exit::Unreachable, &2.into()));
    let (exit, rows) = tool(&fleet, &["show", "targets"]);
    assert_eq!(exit, Exit::Unreachable);
    assert_eq!(rows[0]["state"], "in_service");
    assert_eq!(rows[1]["state"], "no_answer");
}
