//! Tests of what routers learn about a target's load from its side process.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::json;
use wisteriapass_bench::fleet::{AccountPlan, Fleet, FleetPlan, Program};

/// Number of consecutive calls at one engine that show a preference. Without load reports, each
/// call goes to either engine at random.
const CONSECUTIVE_CALLS: usize = 20;

/// Number of runs that load the first engine, enough to outweigh the randomness in the choice.
const LONG_RUNS: usize = 6;

fn request(router: SocketAddr, prompt: &str, max_tokens: u32) -> minreq::Request {
    let body = json!({
        "model": "wisteria-8b",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
    });
    minreq::post(format!("http://{router}/v1/chat/completions"))
        .with_header("authorization", "Bearer key-of-acme")
        .with_body(body.to_string())
        .with_timeout(60)
}

/// Waits until a condition is true; returns whether it became true in time.
fn becomes_true(mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + Duration::from_secs(30);
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        sleep(Duration::from_millis(5));
    }
    false
}

fn run_count(fleet: &Fleet, engine: &str) -> usize {
    fleet.engines()[engine].executions().len()
}

/// Returns whether a router comes to send all calls to one engine.
fn all_calls_reach(fleet: &Fleet, router: SocketAddr, engine: &str) -> bool {
    let mut consecutive = 0;
    becomes_true(|| {
        let count_before = run_count(fleet, engine);
        let answer = request(router, "short tokens=1", 1).send().unwrap();
        assert_eq!(answer.status_code, 200);
        consecutive = match run_count(fleet, engine) > count_before {
            true => consecutive + 1,
            false => 0,
        };
        consecutive == CONSECUTIVE_CALLS
    })
}

fn set_draining(fleet: &Fleet, engine: usize, draining: bool) {
    let mut document = fleet.document();
    document.inventory.target[engine].draining = draining;
    fleet.apply(document).unwrap();
}

#[test]
fn a_router_avoids_an_engine_that_another_router_loaded() {
    let mut plan = FleetPlan::new(Program::Tool(
        env!("CARGO_BIN_EXE_wisteriapass_bench").into(),
    ));
    plan.services = 0;
    plan.failure_domains = 1;
    plan.accounts = vec![AccountPlan::new("acme").with_prepaid(1_000_000)];
    plan.engine.time_per_token = Duration::from_millis(50);
    let fleet = Fleet::start(plan).unwrap();
    let (first, second) = (fleet.router_addrs()[0], fleet.router_addrs()[1]);
    set_draining(&fleet, 1, true);
    assert!(all_calls_reach(&fleet, first, "engine-1"));
    let count_before = run_count(&fleet, "engine-1");
    for n in 0..LONG_RUNS {
        // These runs last longer than the test and end with the fleet.
        let prompt = format!("{n} tokens=900");
        std::thread::spawn(move || request(first, &prompt, 1_000).send());
    }
    assert!(becomes_true(
        || run_count(&fleet, "engine-1") == count_before + LONG_RUNS
    ));
    set_draining(&fleet, 1, false);
    let avoids_loaded = all_calls_reach(&fleet, second, "engine-2");
    assert!(
        avoids_loaded,
        "the second router kept sending calls to the loaded engine"
    );
}
