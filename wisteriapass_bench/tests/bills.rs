//! Bills that must reach the service whoever dies.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use wisteriapass_bench::fleet::{AccountPlan, Fleet, FleetPlan, Program};
use wisteriapass_bench::standin::{Outage, PlatformFaults};
use wisteriapass_coord::budget::Origin;
use wisteriapass_coord::once::{BillLedger, RunId};

fn plan() -> FleetPlan {
    let program = Program::Tool(env!("CARGO_BIN_EXE_wisteriapass_bench").into());
    FleetPlan {
        engines: 3,
        services: 0,
        accounts: vec![AccountPlan::new("acme").with_prepaid(1_000_000)],
        ..FleetPlan::new(program)
    }
}

/// Asks the first router; returns what was billed.
fn ask(fleet: &Fleet, key: &str) -> u64 {
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
    let got: Value = serde_json::from_slice(answer.as_bytes()).unwrap();
    got["usage"]["billed_tokens"].as_u64().unwrap()
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
    let ran = |e: &str| {
        let runs = fleet.engines()[e].ran();
        runs.iter().any(|r| r.request_id.ends_with("second"))
    };
    let side = fleet.side_names().into_iter().find(|s| ran(s)).unwrap();
    fleet.daemon("router-1").unwrap().kill();
    fleet.daemon(&side).unwrap().kill();
    fleet.platform().set_faults(PlatformFaults::default());
    let give_up_at = Instant::now() + Duration::from_secs(40);
    while billed(&fleet, "second").is_none() && Instant::now() < give_up_at {
        std::thread::sleep(Duration::from_millis(200));
    }
    assert_eq!(billed(&fleet, "second"), Some(amount));
}
