//! What routers learn of a target's load from its side process.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::json;
use wisteriapass_bench::fleet::{AccountPlan, Fleet, FleetPlan, Program};

/// Calls in a row that make a rule; without reports each goes to either engine by chance.
const IN_A_ROW: usize = 20;

/// Runs that load the first engine: too many for the noise in the choice.
const HELD: usize = 6;

fn ask(router: SocketAddr, prompt: &str, max_tokens: u32) -> minreq::Request {
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

/// Waits until something is so; returns whether it came to be.
fn comes_to_be(mut is_so: impl FnMut() -> bool) -> bool {
    let give_up_at = Instant::now() + Duration::from_secs(30);
    while Instant::now() < give_up_at {
        if is_so() {
            return true;
        }
        sleep(Duration::from_millis(5));
    }
    false
}

fn ran(fleet: &Fleet, engine: &str) -> usize {
    fleet.engines()[engine].executions().len()
}

/// Returns whether calls at a router come to go all to one engine.
fn all_come_to_go(fleet: &Fleet, router: SocketAddr, engine: &str) -> bool {
    let mut in_a_row = 0;
    comes_to_be(|| {
        let earlier = ran(fleet, engine);
        let answer = ask(router, "short tokens=1", 1).send().unwrap();
        assert_eq!(answer.status_code, 200);
        in_a_row = match ran(fleet, engine) > earlier {
            true => in_a_row + 1,
            false => 0,
        };
        in_a_row == IN_A_ROW
    })
}

fn drain(fleet: &Fleet, engine: usize, draining: bool) {
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
    drain(&fleet, 1, true);
    assert!(all_come_to_go(&fleet, first, "engine-1"));
    let earlier = ran(&fleet, "engine-1");
    for n in 0..HELD {
        // They outlast the test, and end with the fleet.
        let prompt = format!("{n} tokens=900");
        std::thread::spawn(move || ask(first, &prompt, 1_000).send());
    }
    assert!(comes_to_be(|| ran(&fleet, "engine-1") == earlier + HELD));
    drain(&fleet, 1, false);
    let learned = all_come_to_go(&fleet, second, "engine-2");
    assert!(learned, "work went on to the engine that was loaded");
}
