//! Homes, the directory and bills: a request never gets two firm bills, whichever homes are
//! unreachable or restarted.

mod common;

use common::FaultyStore;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use wisteriapass_coord::Millis;
use wisteriapass_coord::budget::{BudgetId, Origin, Part, Payment, PaymentId, Tokens};
use wisteriapass_coord::once::{
    Attempt, BeginOutcome, Bill, BillLedger, ClaimOpId, Directory, DispatchError, HomeAnswer,
    HomeCandidate, HomesVerdict, PendingBills, Place, RunDispatch, RunId, RunLocation, RunTable,
    choose_homes,
};

const FOREVER: Millis = Millis(u64::MAX);
const MEMBERS: [HomeCandidate<'static>; 5] = [
    HomeCandidate {
        side: "e1",
        failure_domain: "a",
    },
    HomeCandidate {
        side: "e2",
        failure_domain: "a",
    },
    HomeCandidate {
        side: "e3",
        failure_domain: "b",
    },
    HomeCandidate {
        side: "e4",
        failure_domain: "b",
    },
    HomeCandidate {
        side: "e5",
        failure_domain: "c",
    },
];

fn run_named(n: u32) -> RunId {
    RunId::keyed("acme", &n.to_string())
}

#[test]
fn homes_are_two_and_in_two_failure_domains() {
    let domain = |side: &str| {
        MEMBERS
            .iter()
            .find(|m| m.side == side)
            .unwrap()
            .failure_domain
    };
    for n in 0..500 {
        let homes = choose_homes(&run_named(n), &MEMBERS);
        assert_eq!(homes.len(), 2);
        assert_ne!(domain(homes[0]), domain(homes[1]));
    }
}

#[test]
fn a_member_that_leaves_moves_only_its_own_runs() {
    let rest: Vec<HomeCandidate> = MEMBERS.into_iter().filter(|m| m.side != "e3").collect();
    for n in 0..500 {
        let before = choose_homes(&run_named(n), &MEMBERS);
        let after = choose_homes(&run_named(n), &rest);
        if !before.contains(&"e3") {
            assert_eq!(before, after);
        }
    }
}

/// A claim by a router that may reach only some of the homes.
#[derive(Clone, Copy, Debug)]
struct ClaimAttempt {
    reaches_first: bool,
    reaches_second: bool,
    /// Which home restarts before this claim, if any; `true` for the first one.
    restarted_first_home: Option<bool>,
    /// Number of further attempts after which the claim is released, if the request does not run.
    released_after: Option<usize>,
}

impl Arbitrary for ClaimAttempt {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            reaches_first: u8::arbitrary(g) % 4 != 0,
            reaches_second: u8::arbitrary(g) % 4 != 0,
            restarted_first_home: (u8::arbitrary(g) % 8 == 0).then(|| bool::arbitrary(g)),
            released_after: (u8::arbitrary(g) % 3 == 0).then(|| usize::arbitrary(g) % 3),
        }
    }
}

fn op(n: usize) -> ClaimOpId {
    ClaimOpId(n.to_string())
}

fn location_at(place: Place) -> RunLocation {
    RunLocation {
        place,
        until: FOREVER,
    }
}

fn home(is_complete: bool) -> Directory {
    let mut directory = Directory::new();
    if is_complete {
        directory.mark_all_published("owner");
    }
    directory
}

/// Simulates claims of different routers for one request; returns the number of firm runs.
fn count_firm_runs(attempts: &[ClaimAttempt], trusts_any_answer: bool) -> usize {
    let run = run_named(1);
    let mut directories = [home(true), home(true)];
    let mut firm = 0;
    for (n, attempt) in attempts.iter().enumerate() {
        for (i, earlier) in attempts[..n].iter().enumerate() {
            if earlier.released_after == Some(n - i - 1) {
                release(&mut directories, earlier, &run, &op(i));
            }
        }
        if let Some(first) = attempt.restarted_first_home {
            directories[usize::from(!first)] = home(false);
        }
        let own = Place::new("owner", format!("i{n}"));
        let mut answers: Vec<Option<HomeAnswer>> = Vec::new();
        for (reaches, directory) in [attempt.reaches_first, attempt.reaches_second]
            .into_iter()
            .zip(&mut directories)
        {
            let location = location_at(own.clone());
            let answer =
                reaches.then(|| directory.claim(&run, location, &op(n), Millis(0), ["owner"]));
            answers.push(answer);
        }
        let is_firm = match HomesVerdict::from_answers(&answers, &own) {
            HomesVerdict::Unclaimed => attempt.released_after.is_none(),
            HomesVerdict::Uncertain => trusts_any_answer,
            HomesVerdict::Elsewhere(_) => false,
        };
        firm += usize::from(is_firm);
    }
    firm
}

/// Releases the claim of an attempt at the homes that it reaches.
fn release(directories: &mut [Directory; 2], attempt: &ClaimAttempt, run: &RunId, by: &ClaimOpId) {
    if attempt.reaches_first {
        directories[0].release(run, by);
    }
    if attempt.reaches_second {
        directories[1].release(run, by);
    }
}

#[test]
fn at_most_one_run_is_firm() {
    fn holds(attempts: Vec<ClaimAttempt>) -> bool {
        count_firm_runs(&attempts, false) <= 1
    }
    let result = QuickCheck::new()
        .rng(Gen::from_size_and_seed(12, 0x0021))
        .tests(5_000)
        .max_tests(5_000)
        .quicktest(holds as fn(Vec<ClaimAttempt>) -> bool);
    assert!(result.is_ok(), "{result:?}");
}

#[test]
fn trusting_a_single_home_is_detected_as_unsafe() {
    let mut g = Gen::from_size_and_seed(12, 0x0022);
    let is_found =
        (0..5_000).any(|_| count_firm_runs(&Vec::<ClaimAttempt>::arbitrary(&mut g), true) > 1);
    assert!(is_found);
}

#[test]
fn an_owner_that_publishes_again_overrides_a_claim() {
    let mut directory = Directory::new();
    let (run, owner) = (run_named(1), Place::new("e1", "i1"));
    let claim = location_at(Place::new("e2", "i1"));
    let claimed = directory.claim(&run, claim, &op(1), Millis(0), ["e1"]);
    assert_eq!(claimed, HomeAnswer::Fresh { is_complete: false });
    let published = RunLocation {
        place: owner,
        until: Millis(100),
    };
    directory.publish(run.clone(), published.clone());
    directory.release(&run, &op(1));
    let claim = location_at(Place::new("e3", "i1"));
    let again = directory.claim(&run, claim, &op(2), Millis(50), ["e1"]);
    assert_eq!(again, HomeAnswer::Held(published));
    directory.expire(Millis(100));
    assert!(directory.is_empty());
}

#[test]
fn a_claim_is_released_only_by_its_operation_and_only_if_no_other_was_told_of_it() {
    let run = run_named(1);
    let claim = |directory: &mut Directory, n| {
        let location = location_at(Place::new("e1", "i1"));
        directory.claim(&run, location, &op(n), Millis(0), []);
    };
    let mut alone = home(true);
    claim(&mut alone, 1);
    alone.release(&run, &op(2));
    assert_eq!(alone.len(), 1);
    alone.release(&run, &op(1));
    assert!(alone.is_empty());
    let mut shared = home(true);
    claim(&mut shared, 1);
    claim(&mut shared, 2);
    shared.release(&run, &op(1));
    shared.release(&run, &op(2));
    assert_eq!(shared.len(), 1);
}

fn bill(n: u32, is_provisional: bool) -> Bill {
    Bill {
        run: run_named(n),
        place: Place::new("e1", "i1"),
        account: "acme".into(),
        payment: payment(100),
        amount: Tokens(70),
        is_provisional,
    }
}

fn payment(amount: u64) -> Payment {
    let part = Part {
        origin: Origin(7),
        amount: Tokens(amount),
    };
    Payment {
        id: PaymentId {
            holder: Origin(7),
            number: 1,
        },
        budget: BudgetId::new("acme", "main"),
        parts: [part].into_iter().collect(),
    }
}

#[test]
fn a_bill_written_twice_counts_once() {
    let store = FaultyStore::new();
    let first = BillLedger::new(&store, Origin(1));
    first
        .write_batch(1, &[bill(1, false), bill(2, false)])
        .unwrap();
    first
        .write_batch(1, &[bill(1, false), bill(2, false)])
        .unwrap();
    let second = BillLedger::new(&store, Origin(2));
    second.write_batch(1, &[bill(2, false)]).unwrap();
    assert_eq!(first.read().unwrap().len(), 2);
}

#[test]
fn a_provisional_bill_is_not_handed_over_before_it_is_confirmed() {
    let mut pending = PendingBills::new();
    pending.insert(bill(1, true), Millis(0));
    pending.insert(bill(2, false), Millis(10));
    assert!(pending.due_for_handover(Millis(5), 9).is_empty());
    assert_eq!(
        pending.due_for_handover(Millis(10), 9),
        vec![bill(2, false)]
    );
    pending.confirm(&run_named(1));
    assert_eq!(pending.due_for_handover(Millis(10), 9).len(), 2);
    assert_eq!(pending.void(&run_named(1)), None);
    pending.acknowledge([&run_named(1), &run_named(2)]);
    assert!(pending.is_empty());
}

#[test]
fn a_fenced_origin_pays_for_no_new_run_and_its_spending_becomes_final() {
    let mut table = RunTable::new("i1");
    let dispatch = |n| RunDispatch {
        run: run_named(n),
        fingerprint: "same".into(),
        attempt: Attempt::FIRST,
        incarnation: None,
        start_by: Millis(100),
        payment: Some(payment(100)),
        is_idempotent: true,
    };
    assert_eq!(
        table.begin(&dispatch(1), Millis(0), || 1),
        Ok(BeginOutcome::New(1))
    );
    assert_eq!(
        table.begin(&dispatch(2), Millis(0), || 2),
        Ok(BeginOutcome::New(2))
    );
    table.end(&run_named(1), Tokens(60), 10, Millis(1));
    table.end(&run_named(1), Tokens(60), 10, Millis(1));
    let ack = table.fence(Origin(7));
    assert_eq!(ack.running, 1);
    let refused = table.begin(&dispatch(3), Millis(2), || 3);
    assert_eq!(refused, Err(DispatchError::Fenced { origin: Origin(7) }));
    // A repeat of a run in progress spends nothing new.
    assert_eq!(
        table.begin(&dispatch(2), Millis(2), || 4),
        Ok(BeginOutcome::Existing(2))
    );
    table.end(&run_named(2), Tokens(900), 10, Millis(3));
    let ack = table.fence(Origin(7));
    assert_eq!(ack.running, 0);
    assert_eq!(ack.spent[&BudgetId::new("acme", "main")], Tokens(160));
}
