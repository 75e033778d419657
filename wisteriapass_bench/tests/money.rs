//! Money through separate processes: dead and paused routers, bills, and what comes back.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use wisteriapass_bench::fleet::{Fleet, FleetPlan, Program, Signal};
use wisteriapass_coord::budget::{Origin, Totals};
use wisteriapass_coord::once::{Bill, BillLedger};

const PREPAID: u64 = 100_000;

/// Longest wait for what a dead router held, in seconds.
const PATIENCE_S: u64 = 30;

fn start() -> Fleet {
    start_with(2)
}

fn start_with(engines: usize) -> Fleet {
    let mut plan = FleetPlan::new(Program::Tool(
        env!("CARGO_BIN_EXE_wisteriapass_bench").into(),
    ));
    plan.engines = engines;
    plan.services = 0;
    plan.accounts[0].prepaid = PREPAID;
    plan.engine.time_per_token = Duration::from_millis(20);
    Fleet::start(plan).unwrap()
}

fn ask(router: SocketAddr, tokens: u32) -> minreq::Request {
    let body = json!({
        "model": "wisteria-8b",
        "messages": [{"role": "user", "content": format!("page tokens={tokens}")}],
        "max_tokens": 100,
    });
    minreq::post(format!("http://{router}/v1/chat/completions"))
        .with_header("authorization", "Bearer key-of-acme")
        .with_body(body.to_string())
        .with_timeout(60)
}

fn answer(req: minreq::Request) -> (u16, Value) {
    let answer = req.send().unwrap();
    let body = serde_json::from_slice(answer.as_bytes()).unwrap();
    (answer.status_code, body)
}

/// Asks a router and returns the tokens billed.
fn billed(router: SocketAddr, tokens: u32) -> u64 {
    let (status, got) = answer(ask(router, tokens));
    assert_eq!(status, 200, "{got}");
    got["usage"]["billed_tokens"].as_u64().unwrap()
}

fn totals(fleet: &Fleet) -> Totals {
    fleet.totals().unwrap().remove(0)
}

fn bills(fleet: &Fleet) -> Vec<Bill> {
    let ledger = BillLedger::new(fleet.platform().store(), Origin(0));
    ledger.read().unwrap().into_values().collect()
}

/// Waits until something holds.
fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(PATIENCE_S);
    while !holds() {
        assert!(Instant::now() < deadline, "{what} did not come");
        std::thread::sleep(Duration::from_millis(200));
    }
}

#[test]
fn what_a_killed_router_held_comes_back_less_what_was_spent() {
    let fleet = start();
    let routers = fleet.router_addrs();
    let billed = billed(routers[0], 30);
    fleet.daemon("router-1").unwrap().kill();
    wait_for("the money", || !totals(&fleet).recovered.is_zero());
    let totals = totals(&fleet);
    assert_eq!(totals.free.0 + totals.outstanding.0, PREPAID - billed);
    assert!(totals.stranded.is_zero());
}

#[test]
fn money_stays_spent_where_a_side_process_lost_its_memory() {
    let fleet = start();
    let routers = fleet.router_addrs();
    billed(routers[0], 30);
    {
        let mut side = fleet.daemon("engine-1").unwrap();
        side.kill();
        side.start().unwrap();
    }
    fleet.daemon("router-1").unwrap().kill();
    wait_for("the count", || !totals(&fleet).stranded.is_zero());
    assert!(totals(&fleet).recovered.is_zero());
}

#[test]
fn a_bill_whose_router_died_is_taken_over() {
    let fleet = start();
    let routers = fleet.router_addrs();
    std::thread::scope(|s| {
        s.spawn(|| {
            ask(routers[0], 90)
                .with_header("idempotency-key", "a")
                .send()
        });
        std::thread::sleep(Duration::from_millis(500));
        fleet.daemon("router-1").unwrap().kill();
    });
    wait_for("the bill", || bills(&fleet).len() == 1);
    wait_for("the money", || !totals(&fleet).recovered.is_zero());
    let spent = bills(&fleet)[0].amount;
    assert_eq!(totals(&fleet).spent, spent);
}

/// Found by seeds 6 and 10 of the faults experiment: the second run took its own bill for that of
/// the place that had gone, which had the same side process.
#[test]
fn a_run_after_one_lost_at_the_same_side_process_is_billed() {
    let fleet = start_with(1);
    let router = fleet.router_addrs()[0];
    let ask_until_answered = || loop {
        let req = ask(router, 90)
            .with_header("idempotency-key", "a")
            .with_timeout(10);
        match req.send() {
            Ok(answer) if answer.status_code == 200 => return,
            _ => std::thread::sleep(Duration::from_millis(500)),
        }
    };
    std::thread::scope(|s| {
        s.spawn(ask_until_answered);
        std::thread::sleep(Duration::from_millis(800));
        let mut side = fleet.daemon("engine-1").unwrap();
        side.kill();
        side.start().unwrap();
    });
    wait_for("the bill", || bills(&fleet).len() == 1);
}

#[test]
fn a_router_paused_past_its_lease_is_fenced_and_serves_on() {
    let fleet = start();
    let routers = fleet.router_addrs();
    billed(routers[0], 30);
    let signal = |s| fleet.daemon("router-1").unwrap().signal(s).unwrap();
    signal(Signal::Pause);
    wait_for("the money", || !totals(&fleet).recovered.is_zero());
    signal(Signal::Resume);
    wait_for("an answer", || answer(ask(routers[0], 30)).0 == 200);
    wait_for("the bills", || bills(&fleet).len() == 2);
    let spent: u64 = bills(&fleet).iter().map(|b| b.amount.0).sum();
    let totals = totals(&fleet);
    assert!(totals.free.0 + totals.outstanding.0 <= PREPAID - spent);
}
