//! The faults experiment, short and with fixed seeds: no property breaks, and the checks bite.

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

fn assert_holds(seed: u64) -> Report {
    let opts = FaultsOpts {
        help: false,
        seed,
        seconds: 8,
        json: true,
        verbose: false,
    };
    let report = run_experiment(&opts, program()).unwrap();
    let broken: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
    report
}

#[test]
fn a_short_run_breaks_no_property() {
    let report = assert_holds(1);
    assert!(report.answered > 0);
}

/// Found by seed 3: a repeat met a router that had just started, and was told "not run".
#[test]
fn a_router_that_is_not_ready_does_not_say_that_a_keyed_request_did_not_run() {
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
    let says_not_run = outcome
        .refused()
        .is_some_and(|r| r.refusal.ran == Ran::NotRun);
    assert!(!says_not_run, "{outcome:?}");
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

fn ended(sent_us: u64, outcome: Outcome) -> Attempt {
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

/// One keyed call that was refused, asked again, run, answered and billed.
fn sound() -> Observations {
    let answered = Answered {
        run: "k/acme/a".into(),
        is_expected: true,
        billed_tokens: Some(70),
        ..Answered::default()
    };
    let call = Call::chat(CallId(1), &AccountPlan::new("acme"), "m", "p");
    let asked = CallRecord {
        call: call.with_key("a").with_non_idempotent(),
        attempts: vec![
            ended(0, not_run()),
            ended(100_000, Outcome::Answered(answered)),
        ],
    };
    let run = Execution {
        target: "e1".into(),
        started_us: 110_000,
    };
    let added = TopUpRecord {
        at_us: 0,
        tokens: 100,
    };
    Observations {
        calls: BTreeMap::from([(CallId(1), asked)]),
        executions: BTreeMap::from([("k/acme/a".into(), vec![run])]),
        bills: BTreeMap::from([("k/acme/a".into(), vec![bill("e1", 70)])]),
        top_ups: BTreeMap::from([("acme".into(), vec![added])]),
        totals: Vec::new(),
        leaving_periods: Vec::new(),
        rollbacks: Vec::new(),
    }
}

/// Returns the properties that a change to the sound facts breaks.
fn broken(change: impl FnOnce(&mut Observations)) -> Vec<Property> {
    let mut facts = sound();
    change(&mut facts);
    check(&facts).into_iter().map(|v| v.property).collect()
}

fn call(facts: &mut Observations) -> &mut CallRecord {
    facts.calls.get_mut(&CallId(1)).unwrap()
}

fn runs(facts: &mut Observations) -> &mut Vec<Execution> {
    facts.executions.get_mut("k/acme/a").unwrap()
}

fn bills(facts: &mut Observations) -> &mut Vec<Bill> {
    facts.bills.get_mut("k/acme/a").unwrap()
}

#[test]
fn each_check_finds_its_fault() {
    assert_eq!(broken(|_| {}), []);
    let overspend = broken(|f| f.top_ups.get_mut("acme").unwrap()[0].tokens = 69);
    assert_eq!(overspend, [Property::Overspend]);
    let twice = broken(|f| bills(f).push(bill("e2", 5)));
    assert_eq!(twice, [Property::BilledTwice]);
    assert_eq!(broken(|f| f.bills.clear()), [Property::Unbilled]);
    let other_amount = broken(|f| bills(f)[0].amount = Tokens(71));
    assert_eq!(other_amount, [Property::Unbilled]);
    let crossed = broken(|f| {
        let Outcome::Answered(answered) = &mut call(f).attempts[1].outcome else {
            return;
        };
        answered.is_expected = false;
    });
    assert_eq!(crossed, [Property::Crossed]);
    let ran_before = broken(|f| runs(f)[0].started_us = 10_000);
    assert_eq!(ran_before, [Property::WrongNotRun]);
    let ran_later = broken(|f| runs(f)[0].started_us = 80_000);
    assert_eq!(ran_later, [Property::WrongNotRun]);
    let again = broken(|f| {
        let run = runs(f)[0].clone();
        runs(f).push(run);
    });
    assert_eq!(again, [Property::RanTwice]);
}

/// Tells a target to leave, with its run begun this long after.
fn leave(facts: &mut Observations, target: &str, after_us: u64) {
    runs(facts)[0].started_us = 100_000 + after_us;
    call(facts).attempts[1].ended_us = 200_000 + after_us;
    facts.leaving_periods.push(LeavingPeriod {
        target: target.into(),
        from_us: 100_000,
        until_us: 10_000_000,
    });
}

#[test]
fn work_of_a_leaving_target_and_older_configurations_are_found() {
    let late = broken(|f| leave(f, "e1", 3_100_000));
    assert_eq!(late, [Property::WorkAfterLeaving]);
    assert_eq!(broken(|f| leave(f, "e1", 2_900_000)), []);
    assert_eq!(broken(|f| leave(f, "e2", 3_100_000)), []);
    assert_eq!(broken(|f| leave(f, "e1", 9_950_000)), []);
    let repeated = broken(|f| {
        leave(f, "e1", 3_100_000);
        let started_us = 100_000;
        let target = "e2".into();
        runs(f).push(Execution { target, started_us });
        call(f).call.non_idempotent = false;
    });
    assert_eq!(repeated, []);
    let reverted = broken(|f| {
        f.rollbacks.push(Rollback {
            daemon: "r1".into(),
            from: 3,
            to: 2,
        });
    });
    assert_eq!(reverted, [Property::Reverted]);
}
