//! The operators' tool against a stand-in platform and real daemons.

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

/// Maximum time for all daemons to apply a revision, in seconds.
const APPLY_TIMEOUT_S: u64 = 10;

/// Interval at which the fleet is polled, in milliseconds.
const POLL_INTERVAL_MS: u64 = 20;

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

/// Runs a command of the tool against a fleet; returns its exit code and JSON output.
fn run_tool(fleet: &Fleet, args: &[&str]) -> (Exit, Value) {
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
fn wait_until_in_force(fleet: &Fleet) {
    let deadline = Instant::now() + Duration::from_secs(APPLY_TIMEOUT_S);
    while run_tool(fleet, &["show", "revision"]).0 != Exit::Success {
        assert!(
            Instant::now() < deadline,
            "the newest revision is not in force everywhere"
        );
        sleep(Duration::from_millis(POLL_INTERVAL_MS));
    }
}

/// Sends a request; returns the status and body of the response.
fn send_request(fleet: &Fleet) -> (u16, Value) {
    let body = json!({
        "model": "wisteria-8b",
        "messages": [{"role": "user", "content": "hello"}],
        "max_tokens": 4,
    });
    let response = minreq::post(format!(
        "http://{}/v1/chat/completions",
        fleet.router_addrs()[0]
    ))
    .with_header("authorization", "Bearer key-of-acme")
    .with_header("x-wisteriapass-deadline-ms", "2000")
    .with_body(body.to_string())
    .with_timeout(30)
    .send()
    .unwrap();
    let body = serde_json::from_slice(response.as_bytes()).unwrap();
    (response.status_code, body)
}

#[test]
fn a_drained_target_gets_no_new_work_until_it_is_undrained() {
    let fleet = start();
    run_tool(&fleet, &["topup", "acme/main", "100000", "--id", "first"]);
    run_tool(&fleet, &["drain", "engine-1"]);
    wait_until_in_force(&fleet);
    for _ in 0..5 {
        assert_eq!(send_request(&fleet).0, 200);
    }
    assert_eq!(fleet.engines()["engine-1"].executions().len(), 0);
    assert_eq!(fleet.engines()["engine-2"].executions().len(), 5);

    let (_, output) = run_tool(&fleet, &["drain", "vm-engine-2"]);
    assert_eq!(output["notes"][0]["note"], "all-draining");
    wait_until_in_force(&fleet);
    let (status, refusal) = send_request(&fleet);
    assert_eq!((status, &refusal["error"]["ran"]), (503, &"not_run".into()));
    let (exit, output) = run_tool(&fleet, &["show", "refusals"]);
    assert_eq!(exit, Exit::Success);
    assert_eq!(
        output["reasons"],
        json!([{"reason": "no_target", "count": 1}])
    );

    run_tool(&fleet, &["undrain", "engine-2"]);
    wait_until_in_force(&fleet);
    assert_eq!(send_request(&fleet).0, 200);
}

#[test]
fn lost_answers_duplicate_neither_edits_nor_topups() {
    let fleet = start();
    fleet.platform().set_faults(PlatformFaults {
        lost_answers: 0.5,
        ..PlatformFaults::default()
    });
    for n in 0..4 {
        let id = format!("invoice-{n}");
        let topup = ["topup", "acme/main", "1000", "--id", &id];
        while run_tool(&fleet, &topup).0 == Exit::OutcomeUnknown {}
        let drain = ["drain", "engine-1", "--op", &format!("drain-{n}")];
        while run_tool(&fleet, &drain).0 == Exit::OutcomeUnknown {}
        let undrain = ["undrain", "engine-1", "--op", &format!("undrain-{n}")];
        while run_tool(&fleet, &undrain).0 == Exit::OutcomeUnknown {}
    }
    fleet.platform().set_faults(PlatformFaults::default());
    let totals = budgets::totals(fleet.platform().store()).unwrap();
    assert_eq!(totals[0].prepaid.0, 4_000);
    let (_, output) = run_tool(&fleet, &["show", "revision"]);
    assert_eq!(output["expected"], 1 + 2 * 4);
}

#[test]
fn a_dead_daemon_is_named() {
    let fleet = start();
    fleet.daemon("engine-2").unwrap().kill();
    let (exit, output) = run_tool(&fleet, &["show", "revision"]);
    assert_eq!((exit, &output["in_force"]), (Exit::Unreachable, &2.into()));
    let (exit, rows) = run_tool(&fleet, &["show", "targets"]);
    assert_eq!(exit, Exit::Unreachable);
    assert_eq!(rows[0]["state"], "in_service");
    assert_eq!(rows[1]["state"], "no_answer");
}
