//! Bills reach the key-value service whichever processes die.

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

/// Sends a keyed request to the first router and returns the body of the response.
fn send(fleet: &Fleet, key: &str) -> Value {
    let body = json!({
        "model": "wisteria-8b",
        "messages": [{"role": "user", "content": "page tokens=20"}],
        "max_tokens": 50,
    });
    let response = minreq::post(format!(
        "http://{}/v1/chat/completions",
        fleet.router_addrs()[0]
    ))
    .with_header("authorization", "Bearer key-of-acme")
    .with_header("idempotency-key", key)
    .with_body(body.to_string())
    .with_timeout(30)
    .send()
    .unwrap();
    serde_json::from_slice(response.as_bytes()).unwrap()
}

/// Sends a keyed request to the first router and returns the billed tokens.
fn send_billed(fleet: &Fleet, key: &str) -> u64 {
    let response = send(fleet, key);
    let billed = response["usage"]["billed_tokens"].as_u64();
    billed.unwrap_or_else(|| panic!("{response}"))
}

/// Returns the engine that ran a keyed request, if one did.
fn engine_of(fleet: &Fleet, key: &str) -> Option<String> {
    let ran = |e: &String| {
        let runs = fleet.engines()[e].executions();
        runs.iter().any(|r| r.request_id.ends_with(key))
    };
    fleet.side_names().into_iter().find(ran)
}

/// Returns the side process that holds the run of a keyed request, as the run's homes know it.
fn holder_of(fleet: &Fleet, key: &str) -> String {
    let caller = RpcClient::new().unwrap();
    let targets = fleet.document().inventory.target;
    let held = targets.iter().find_map(|t| {
        let run = RunId::keyed("acme", key);
        let lookup = caller.call(t.side_control, |c| async move { c.lookup(run).await });
        lookup.unwrap().held
    });
    held.unwrap().place.side
}

fn spent(fleet: &Fleet) -> u64 {
    fleet.totals().unwrap().iter().map(|t| t.spent.0).sum()
}

/// Waits until a condition holds; returns whether it did in time.
fn wait_for(seconds: u64, condition: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + Duration::from_secs(seconds);
    while !condition() {
        if Instant::now() >= deadline {
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
fn a_bill_survives_its_router_and_its_side_process_in_an_outage() {
    let fleet = Fleet::start(plan()).unwrap();
    send_billed(&fleet, "first");
    fleet.platform().set_faults(PlatformFaults {
        outage: Outage::Refusing,
        ..PlatformFaults::default()
    });
    let amount = send_billed(&fleet, "second");
    std::thread::sleep(Duration::from_millis(500));
    let side = engine_of(&fleet, "second").unwrap();
    fleet.daemon("router-1").unwrap().kill();
    fleet.daemon(&side).unwrap().kill();
    fleet.platform().set_faults(PlatformFaults::default());
    wait_for(60, || billed(&fleet, "second").is_some());
    assert_eq!(billed(&fleet, "second"), Some(amount));
}

#[test]
fn a_request_run_again_after_a_network_cut_is_paid_once() {
    let mut plan = plan();
    plan.engine.time_per_token = Duration::from_millis(50);
    let fleet = Fleet::start(plan).unwrap();
    let amount = std::thread::scope(|s| {
        let request = s.spawn(|| send_billed(&fleet, "lost"));
        assert!(wait_for(10, || engine_of(&fleet, "lost").is_some()));
        let first_engine = engine_of(&fleet, "lost").unwrap();
        fleet.network().cut("router-1", &first_engine);
        let amount = request.join().unwrap();
        // The first run has ended; restarting its side process leaves only the copies of its bill.
        let mut side = fleet.daemon(&first_engine).unwrap();
        side.kill();
        side.start().unwrap();
        drop(side);
        amount
    });
    fleet.network().heal_all();
    assert!(wait_for(60, || spent(&fleet) > 0));
    std::thread::sleep(Duration::from_secs(6));
    assert_eq!(spent(&fleet), amount);
}

#[test]
fn a_stopping_side_process_hands_over_its_bills() {
    // With a single side process, no other side process keeps copies of the bills.
    let fleet = Fleet::start(FleetPlan {
        engines: 1,
        ..plan()
    })
    .unwrap();
    send_billed(&fleet, "first");
    fleet.platform().set_faults(PlatformFaults {
        outage: Outage::Refusing,
        ..PlatformFaults::default()
    });
    let amount = send_billed(&fleet, "second");
    let mut side = fleet.daemon("engine-1").unwrap();
    side.signal(Signal::Terminate).unwrap();
    assert!(
        side.wait_exit(Instant::now() + Duration::from_secs(20))
            .is_some()
    );
    fleet.daemon("router-1").unwrap().kill();
    fleet.platform().set_faults(PlatformFaults::default());
    wait_for(60, || billed(&fleet, "second").is_some());
    assert_eq!(billed(&fleet, "second"), Some(amount));
}

#[test]
fn a_failed_run_does_not_affect_the_bill_of_the_successful_one() {
    let fleet = Fleet::start(plan()).unwrap();
    let set_errors = |errors| {
        for engine in fleet.engines().values() {
            engine.set_faults(TargetFaults {
                errors,
                ..TargetFaults::default()
            });
        }
    };
    set_errors(9);
    let failed = send(&fleet, "again");
    assert_eq!(failed["error"]["ran"], "outcome_unknown", "{failed}");
    set_errors(0);
    // After its restart, the side process no longer knows the failed run. The request is therefore
    // run again elsewhere, and the bill of that run is provisional.
    let mut side = fleet.daemon(&holder_of(&fleet, "again")).unwrap();
    side.kill();
    side.start().unwrap();
    drop(side);
    fleet.wait_ready().unwrap();
    let amount = send_billed(&fleet, "again");
    wait_for(60, || billed(&fleet, "again").is_some());
    assert_eq!(billed(&fleet, "again"), Some(amount));
}
