//! Bills that must reach the service whoever dies.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use wisteriapass_bench::fleet::{AccountPlan, Fleet, FleetPlan, Program, Signal};
use wisteriapass_bench::standin::{Outage, PlatformFaults, TargetFaults};
use wisteriapass_coord::budget::Origin;
use wisteriapass_coord::once::{BillLedger, RunId};
use wisteriapass_daemon::rpc::{RpcClient, SideControlClient};

fn plan() -> FleetPlan {
    let program = Program::Tool(env!("CARGO_BIN_EXE_wisteriapass_bench").into());
    FleetPlan {
        engines: 3,
        services: 0,
        accounts: vec![AccountPlan::new("acme").with_prepaid(1_000_000)],
        ..FleetPlan::new(program)
    }
}

/// Asks the first router.
fn send(fleet: &Fleet, key: &str) -> Value {
    let body = json!({
        "model": "wisteria-8b",
        "messages": [{"role": "user", "content": "page tokens=20"}],
        "max_tokens": 50,
    });
    let answer = minreq::post(format!(
        "http://{}/v1/chat/completions",
        fleet.router_addrs()[0]
    ))
    .with_header("authorization", "Bearer key-of-acme")
    .with_header("idempotency-key", key)
    .with_body(body.to_string())
    .with_timeout(30)
    .send()
    .unwrap();
    serde_json::from_slice(answer.as_bytes()).unwrap()
}

/// Asks the first router; returns what was billed.
fn ask(fleet: &Fleet, key: &str) -> u64 {
    let got = send(fleet, key);
    let billed = got["usage"]["billed_tokens"].as_u64();
    billed.unwrap_or_else(|| panic!("{got}"))
}

/// Returns the engine that ran a keyed request, if one did.
fn engine_of(fleet: &Fleet, key: &str) -> Option<String> {
    let ran = |e: &String| {
        let runs = fleet.engines()[e].ran();
        runs.iter().any(|r| r.request_id.ends_with(key))
    };
    fleet.side_names().into_iter().find(ran)
}

/// Returns the side process that the homes name for a keyed request.
fn place_of(fleet: &Fleet, key: &str) -> String {
    let caller = RpcClient::new().unwrap();
    let targets = fleet.document().inventory.target;
    let held = targets.iter().find_map(|t| {
        let run = RunId::keyed("acme", key);
        let looked = caller.call(t.side_control, |c| async move { c.lookup(run).await });
        looked.unwrap().held
    });
    held.unwrap().place.side
}

fn spent(fleet: &Fleet) -> u64 {
    fleet.totals().unwrap().iter().map(|t| t.spent.0).sum()
}

/// Waits until a condition holds; returns whether it did.
fn within(seconds: u64, holds: impl Fn() -> bool) -> bool {
    let give_up_at = Instant::now() + Duration::from_secs(seconds);
    while !holds() {
        if Instant::now() >= give_up_at {
            return false;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    true
}

fn billed(fleet: &Fleet, key: &str) -> Option<u64> {
    let ledger = BillLedger::new(fleet.platform().store(), Origin(0));
    let bills = ledger.read().unwrap();
    let bill = bills.get(&RunId::keyed("acme", key))?;
    Some(bill.amount.0)
}

#[test]
fn a_bill_outlives_its_router_and_its_side_process_in_an_outage() {
    let fleet = Fleet::start(plan()).unwrap();
    ask(&fleet, "first");
    fleet.platform().set_faults(PlatformFaults {
        outage: Outage::Refusing,
        ..PlatformFaults::default()
    });
    let amount = ask(&fleet, "second");
    std::thread::sleep(Duration::from_millis(500));
    let side = engine_of(&fleet, "second").unwrap();
    fleet.daemon("router-1").unwrap().kill();
    fleet.daemon(&side).unwrap().kill();
    fleet.platform().set_faults(PlatformFaults::default());
    within(60, || billed(&fleet, "second").is_some());
    assert_eq!(billed(&fleet, "second"), Some(amount));
}

#[test]
fn a_run_that_was_lost_sight_of_and_run_again_is_paid_once() {
    let mut plan = plan();
    plan.engine.token = Duration::from_millis(50);
    let fleet = Fleet::start(plan).unwrap();
    let amount = std::thread::scope(|s| {
        let asked = s.spawn(|| ask(&fleet, "lost"));
        assert!(within(10, || engine_of(&fleet, "lost").is_some()));
        let first = engine_of(&fleet, "lost").unwrap();
        fleet.network().cut("router-1", &first);
        let amount = asked.join().unwrap();
        // The first run ended long ago; its maker forgets it, and only copies of its bill are left.
        let mut side = fleet.daemon(&first).unwrap();
        side.kill();
        side.start().unwrap();
        drop(side);
        amount
    });
    fleet.network().heal_all();
    assert!(within(60, || spent(&fleet) > 0));
    std::thread::sleep(Duration::from_secs(6));
    assert_eq!(spent(&fleet), amount);
}

#[test]
fn a_side_process_that_stops_hands_its_bills_over() {
    // A single side process has no home elsewhere that keeps a copy.
    let fleet = Fleet::start(FleetPlan {
        engines: 1,
        ..plan()
    })
    .unwrap();
    ask(&fleet, "first");
    fleet.platform().set_faults(PlatformFaults {
        outage: Outage::Refusing,
        ..PlatformFaults::default()
    });
    let amount = ask(&fleet, "second");
    let mut side = fleet.daemon("engine-1").unwrap();
    side.signal(Signal::Terminate).unwrap();
    assert!(
        side.wait_exit(Instant::now() + Duration::from_secs(20))
            .is_some()
    );
    fleet.daemon("router-1").unwrap().kill();
    fleet.platform().set_faults(PlatformFaults::default());
    within(60, || billed(&fleet, "second").is_some());
    assert_eq!(billed(&fleet, "second"), Some(amount));
}

#[test]
fn a_run_that_failed_claims_nothing_from_the_one_that_answers() {
    let fleet = Fleet::start(plan()).unwrap();
    let fail = |errors| {
        for engine in fleet.engines().values() {
            engine.set_faults(TargetFaults {
                errors,
                ..TargetFaults::default()
            });
        }
    };
    fail(9);
    let failed = send(&fleet, "again");
    assert_eq!(failed["error"]["ran"], "outcome_unknown", "{failed}");
    fail(0);
    // Its side process forgets the failed run, so that the next one is elsewhere and provisional.
    let mut side = fleet.daemon(&place_of(&fleet, "again")).unwrap();
    side.kill();
    side.start().unwrap();
    drop(side);
    fleet.wait_ready().unwrap();
    let amount = ask(&fleet, "again");
    within(60, || billed(&fleet, "again").is_some());
    assert_eq!(billed(&fleet, "again"), Some(amount));
}
