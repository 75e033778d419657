//! Short runs of the fault experiment with fixed seeds violate no property, and each check detects
//! the violation that it is for.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wisteriapass_bench::faults::{
    Attempt, CallRecord, Execution, FaultsOpts, LeavingPeriod, Observations, Property, Report,
    Rollback, TopUpRecord, check, run_experiment,
};
use wisteriapass_bench::fleet::{AccountPlan, Fleet, FleetPlan, Program};
use wisteriapass_bench::load::{Answered, Call, CallId, Caller, History, Outcome, Refused};
use wisteriapass_bench::standin::{Outage, PlatformFaults};
use wisteriapass_coord::budget::{BudgetId, Origin, Part, Payment, PaymentId, Tokens};
use wisteriapass_coord::once::{Bill, Place, RunId};
use wisteriapass_daemon::api::{Ran, Reason, Refusal};

fn program() -> Program {
    Program::Tool(env!("CARGO_BIN_EXE_wisteriapass_bench").into())
}

fn run_without_violations(seed: u64) -> Report {
    let opts = FaultsOpts {
        help: false,
        seed,
        seconds: 8,
        json: true,
        verbose: false,
    };
    let report = run_experiment(&opts, program()).unwrap();
    let violated: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
    assert!(violated.is_empty(), "{}", violated.join("\n"));
    report
}

#[test]
fn a_short_run_violates_no_property() {
    let report = run_without_violations(1);
    assert!(report.answered > 0);
}

/// Found by seed 3: a router that had just started refused the retry of a keyed request as not run,
/// although the first attempt had run.
#[test]
fn a_router_that_is_not_ready_does_not_refuse_a_keyed_request_as_not_run() {
    let mut plan = FleetPlan::new(program());
    plan.accounts = vec![AccountPlan::new("acme").with_prepaid(10_000)];
    let fleet = Fleet::start(plan).unwrap();
    let account = &fleet.plan().accounts[0];
    let caller = Caller::new(Arc::new(History::new()));
    let call = Call::chat(CallId(1), account, "wisteria-8b", "p tokens=5").with_key("a");
    let routers = fleet.router_addrs();
    assert!(caller.send(routers[0], &call).answered().is_some());
    fleet.platform().set_faults(PlatformFaults {
        outage: Outage::Refusing,
        ..PlatformFaults::default()
    });
    let mut router = fleet.daemon("router-2").unwrap();
    router.kill();
    router.start().unwrap();
    while router.admin("/livez").is_none() {
        std::thread::sleep(Duration::from_millis(20));
    }
    let outcome = caller.send(routers[1], &call);
    let is_not_run = outcome
        .refused()
        .is_some_and(|r| r.refusal.ran == Ran::NotRun);
    assert!(!is_not_run, "{outcome:?}");
}

fn bill(place: &str, amount: u64) -> Bill {
    let origin = Origin(1);
    let part = Part {
        origin,
        amount: Tokens(amount),
    };
    Bill {
        run: RunId::keyed("acme", "a"),
        place: Place::new(place, "i1"),
        account: "acme".into(),
        payment: Payment {
            id: PaymentId {
                holder: origin,
                number: 1,
            },
            budget: BudgetId::new("acme", "main"),
            parts: [part].into_iter().collect(),
        },
        amount: Tokens(amount),
        is_provisional: false,
    }
}

fn attempt(sent_us: u64, outcome: Outcome) -> Attempt {
    Attempt {
        sent_us,
        ended_us: sent_us + 50_000,
        outcome,
    }
}

fn not_run() -> Outcome {
    Outcome::Refused(Refused {
        status: 503,
        refusal: Refusal::not_run(Reason::NoTarget, "planned"),
    })
}

/// Returns observations of one keyed call that was refused, retried, run, answered and billed.
fn valid_observations() -> Observations {
    let answered = Answered {
        run: "k/acme/a".into(),
        is_expected: true,
        billed_tokens: Some(70),
        ..Answered::default()
    };
    let call = Call::chat(CallId(1), &AccountPlan::new("acme"), "m", "p");
    let record = CallRecord {
        call: call.with_key("a").with_non_idempotent(),
        attempts: vec![
            attempt(0, not_run()),
            attempt(100_000, Outcome::Answered(answered)),
        ],
    };
    let run = Execution {
        target: "e1".into(),
        started_us: 110_000,
    };
    let top_up = TopUpRecord {
        at_us: 0,
        tokens: 100,
    };
    Observations {
        calls: BTreeMap::from([(CallId(1), record)]),
        executions: BTreeMap::from([("k/acme/a".into(), vec![run])]),
        bills: BTreeMap::from([("k/acme/a".into(), vec![bill("e1", 70)])]),
        top_ups: BTreeMap::from([("acme".into(), vec![top_up])]),
        totals: Vec::new(),
        leaving_periods: Vec::new(),
        rollbacks: Vec::new(),
    }
}

/// Returns the properties that a change to the valid observations violates.
fn violated(change: impl FnOnce(&mut Observations)) -> Vec<Property> {
    let mut observed = valid_observations();
    change(&mut observed);
    check(&observed).into_iter().map(|v| v.property).collect()
}

fn call(observed: &mut Observations) -> &mut CallRecord {
    observed.calls.get_mut(&CallId(1)).unwrap()
}

fn executions(observed: &mut Observations) -> &mut Vec<Execution> {
    observed.executions.get_mut("k/acme/a").unwrap()
}

fn bills(observed: &mut Observations) -> &mut Vec<Bill> {
    observed.bills.get_mut("k/acme/a").unwrap()
}

#[test]
fn each_check_detects_its_violation() {
    assert_eq!(violated(|_| {}), []);
    let overspend = violated(|f| f.top_ups.get_mut("acme").unwrap()[0].tokens = 69);
    assert_eq!(overspend, [Property::Overspend]);
    let billed_twice = violated(|f| bills(f).push(bill("e2", 5)));
    assert_eq!(billed_twice, [Property::BilledTwice]);
    assert_eq!(violated(|f| f.bills.clear()), [Property::Unbilled]);
    let other_amount = violated(|f| bills(f)[0].amount = Tokens(71));
    assert_eq!(other_amount, [Property::Unbilled]);
    let crossed = violated(|f| {
        let Outcome::Answered(answered) = &mut call(f).attempts[1].outcome else {
            return;
        };
        answered.is_expected = false;
    });
    assert_eq!(crossed, [Property::Crossed]);
    let ran_before = violated(|f| executions(f)[0].started_us = 10_000);
    assert_eq!(ran_before, [Property::WrongNotRun]);
    let ran_between = violated(|f| executions(f)[0].started_us = 80_000);
    assert_eq!(ran_between, [Property::WrongNotRun]);
    let ran_twice = violated(|f| {
        let run = executions(f)[0].clone();
        executions(f).push(run);
    });
    assert_eq!(ran_twice, [Property::RanTwice]);
}

/// Adds a period in which a target is leaving, with the execution started `after_us` into it.
fn add_leaving_period(observed: &mut Observations, target: &str, after_us: u64) {
    executions(observed)[0].started_us = 100_000 + after_us;
    call(observed).attempts[1].ended_us = 200_000 + after_us;
    observed.leaving_periods.push(LeavingPeriod {
        target: target.into(),
        from_us: 100_000,
        until_us: 10_000_000,
    });
}

#[test]
fn work_of_a_leaving_target_and_configuration_rollbacks_are_detected() {
    let late = violated(|f| add_leaving_period(f, "e1", 3_100_000));
    assert_eq!(late, [Property::WorkAfterLeaving]);
    assert_eq!(violated(|f| add_leaving_period(f, "e1", 2_900_000)), []);
    assert_eq!(violated(|f| add_leaving_period(f, "e2", 3_100_000)), []);
    assert_eq!(violated(|f| add_leaving_period(f, "e1", 9_950_000)), []);
    let retried = violated(|f| {
        add_leaving_period(f, "e1", 3_100_000);
        let started_us = 100_000;
        let target = "e2".into();
        executions(f).push(Execution { target, started_us });
        call(f).call.non_idempotent = false;
    });
    assert_eq!(retried, []);
    let rolled_back = violated(|f| {
        f.rollbacks.push(Rollback {
            daemon: "r1".into(),
            from: 3,
            to: 2,
        });
    });
    assert_eq!(rolled_back, [Property::Reverted]);
}
