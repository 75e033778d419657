//! Orders with fencing tokens, to targets that check the tokens and to targets that ignore them.

mod flaky_store;

use std::time::{Duration, Instant};

use quickcheck::{Arbitrary, Gen, QuickCheck};

use flaky_store::FlakyStore;
use wisteriapass_coord::membership::Incarnation;
use wisteriapass_coord::order::{
    FencingGate, FencingToken, IssueOutcome, Order, PERMIT_TERM, Refusal, WeightBucket, issue,
    read_order,
};

fn change_role(role: &str) -> Order {
    Order::ChangeRole { role: role.into() }
}

fn issue_from(store: &FlakyStore, seen: u64, name: &str) -> IssueOutcome {
    let holder = Incarnation::new(seen, 0);
    issue(
        store,
        "t1",
        FencingToken(seen),
        &change_role(name),
        holder,
        name,
    )
    .unwrap()
}

/// Target that checks or ignores fencing tokens.
struct Target {
    checks_tokens: bool,
    highest: FencingToken,
    executed: Vec<(FencingToken, Order)>,
}

impl Target {
    fn new(checks_tokens: bool) -> Self {
        Self {
            checks_tokens,
            highest: FencingToken(0),
            executed: Vec::new(),
        }
    }

    fn execute(&mut self, token: FencingToken, order: Order) {
        if self.checks_tokens && token < self.highest {
            return;
        }
        self.highest = self.highest.max(token);
        self.executed.push((token, order));
    }

    fn is_in_token_order(&self) -> bool {
        self.executed.is_sorted_by(|a, b| a.0 < b.0)
    }
}

/// Sends the order with token `offered` through the gate to the target.
fn send_order(
    gate: &mut FencingGate,
    target: &mut Target,
    store: &FlakyStore,
    offered: u64,
) -> Option<Refusal> {
    let now = Instant::now();
    let permit = match gate.admit(store, FencingToken(offered), now) {
        Ok(permit) => permit,
        Err(refusal) => return Some(refusal),
    };
    if let Err(refusal) = gate.redeem(&permit, now) {
        return Some(refusal);
    }
    target.execute(permit.token, permit.order);
    None
}

#[test]
fn an_old_order_of_a_holder_paused_past_its_lease_is_not_executed() {
    for checks_tokens in [true, false] {
        let store = FlakyStore::default();
        let mut gate = FencingGate::new("t1");
        let mut target = Target::new(checks_tokens);
        assert_eq!(
            issue_from(&store, 0, "old"),
            IssueOutcome::Accepted(FencingToken(1))
        );
        // The holder pauses before it sends the order. Another holder takes over and its order is
        // executed.
        assert_eq!(
            issue_from(&store, 1, "new"),
            IssueOutcome::Accepted(FencingToken(2))
        );
        assert_eq!(send_order(&mut gate, &mut target, &store, 2), None);
        let refusal = send_order(&mut gate, &mut target, &store, 1);
        assert!(matches!(refusal, Some(Refusal::Stale { .. })));
        // The first holder resumes and issues an order based on the token it had seen.
        assert!(matches!(
            issue_from(&store, 1, "again"),
            IssueOutcome::Superseded(_)
        ));
        assert_eq!(target.executed, [(FencingToken(2), change_role("new"))]);
    }
}

#[test]
fn a_gate_that_lost_its_state_still_refuses_the_old_order() {
    for checks_tokens in [true, false] {
        let store = FlakyStore::default();
        let mut target = Target::new(checks_tokens);
        issue_from(&store, 0, "old");
        issue_from(&store, 1, "new");
        send_order(&mut FencingGate::new("t1"), &mut target, &store, 2);
        let refusal = send_order(&mut FencingGate::new("t1"), &mut target, &store, 1);
        assert!(matches!(refusal, Some(Refusal::Stale { .. })));
        assert!(target.is_in_token_order());
    }
}

#[test]
fn a_gate_that_cannot_read_the_store_refuses() {
    let store = FlakyStore::default();
    issue_from(&store, 0, "a");
    store.set_down(true);
    let refused = FencingGate::new("t1").admit(&store, FencingToken(1), Instant::now());
    assert!(matches!(refused, Err(Refusal::Unproved(_))));
}

#[test]
fn a_gate_that_paused_after_admission_has_to_read_again() {
    let store = FlakyStore::default();
    let mut gate = FencingGate::new("t1");
    issue_from(&store, 0, "a");
    let now = Instant::now();
    let permit = gate.admit(&store, FencingToken(1), now).unwrap();
    assert_eq!(
        gate.redeem(&permit, now + PERMIT_TERM),
        Err(Refusal::Expired)
    );
    let not_issued = gate.admit(&store, FencingToken(7), now);
    assert!(matches!(not_issued, Err(Refusal::NotIssued { .. })));
}

#[test]
fn an_order_whose_response_was_lost_is_issued_once() {
    let store = FlakyStore::default();
    store.lose_next_answer();
    assert_eq!(
        issue_from(&store, 0, "a"),
        IssueOutcome::Accepted(FencingToken(1))
    );
    assert_eq!(
        issue_from(&store, 0, "a"),
        IssueOutcome::Accepted(FencingToken(1))
    );
    let record = read_order(&store, "t1").unwrap().unwrap();
    assert_eq!(record.token, FencingToken(1));
}

#[test]
fn reads_of_the_weight_store_stay_within_its_rate() {
    let store = FlakyStore::default();
    let bucket = WeightBucket::new(1_000);
    let start = |op: &str, now_ms| bucket.reserve(&store, 2_000, now_ms, op).unwrap().at_ms;
    assert_eq!(start("a", 100), 100);
    assert_eq!(start("b", 100), 2_100);
    store.lose_next_answer();
    assert_eq!(start("c", 0), 4_100, "a slow clock starts after the others");
    assert_eq!(
        start("c", 9_000),
        4_100,
        "a repeated reservation keeps its start"
    );
    assert_eq!(start("d", 9_000), 9_000);
}

/// Fault injected into the gate under test.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Variant {
    Correct,
    /// The gate trusts its state and does not read the store.
    NeverReads,
    /// The gate accepts expired permits.
    NeverExpires,
}

#[derive(Clone, Debug)]
enum Step {
    Issue(u8),
    ReceiveOrder(u8),
    Pause(u16),
    Redeem(u8),
    RestartGate,
    Outage(bool),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let n = u8::arbitrary(g);
        match u8::arbitrary(g) % 10 {
            0..=2 => Self::Issue(n),
            3..=5 => Self::ReceiveOrder(n % 6),
            6 => Self::Pause(u16::arbitrary(g)),
            7 | 8 => Self::Redeem(n),
            _ if n.is_multiple_of(2) => Self::RestartGate,
            _ => Self::Outage(n.is_multiple_of(3)),
        }
    }
}

/// Returns whether a target that ignores tokens never executes an order that is older than an
/// executed one, nor an order that was superseded for longer than a permit is valid.
fn runs_in_order(variant: Variant, steps: &[Step]) -> bool {
    let store = FlakyStore::default();
    let mut gate = FencingGate::new("t1");
    let mut target = Target::new(false);
    let mut permits = Vec::new();
    let mut issued: Vec<(u64, Instant)> = Vec::new();
    let mut now = Instant::now();
    for step in steps {
        match *step {
            Step::Issue(n) => {
                let seen = issued.len() as u64;
                let op = format!("{n}-{seen}");
                let holder = Incarnation::new(seen, 0);
                let order = change_role(&op);
                let outcome = issue(&store, "t1", FencingToken(seen), &order, holder, &op);
                if outcome.is_ok() {
                    issued.push((seen, now));
                }
            }
            Step::ReceiveOrder(n) => {
                let latest = read_order(&store, "t1").ok().flatten();
                let offered = FencingToken(u64::from(n));
                let permit = match (variant, latest) {
                    (Variant::NeverReads, Some(mut r)) if offered >= gate.highest_token() => {
                        r.token = offered;
                        gate.admit_read(offered, Some(r), now)
                    }
                    _ => gate.admit(&store, offered, now),
                };
                permits.extend(permit);
            }
            Step::Pause(ms) => now += Duration::from_millis(u64::from(ms)),
            Step::Redeem(n) if !permits.is_empty() => {
                let permit = permits.remove(usize::from(n) % permits.len());
                let expires_at = permit.expires_at;
                let at = match variant {
                    Variant::NeverExpires => now.min(expires_at - Duration::from_millis(1)),
                    _ => now,
                };
                if gate.redeem(&permit, at).is_ok() {
                    let next = issued.get(usize::try_from(permit.token.0).unwrap());
                    if next.is_some_and(|(_, at)| *at + PERMIT_TERM <= now) {
                        return false;
                    }
                    target.execute(permit.token, permit.order);
                }
            }
            Step::Redeem(_) => {}
            // Permits are in the memory of the process, so they are lost with the gate.
            Step::RestartGate => {
                gate = FencingGate::new("t1");
                permits.clear();
            }
            Step::Outage(is_down) => store.set_down(is_down),
        }
    }
    target.executed.is_sorted_by(|a, b| a.0 <= b.0)
}

fn check(variant: Variant) -> Result<u64, quickcheck::TestResult> {
    let property = match variant {
        Variant::Correct => |s: Vec<Step>| runs_in_order(Variant::Correct, &s),
        Variant::NeverReads => |s: Vec<Step>| runs_in_order(Variant::NeverReads, &s),
        Variant::NeverExpires => |s: Vec<Step>| runs_in_order(Variant::NeverExpires, &s),
    };
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 5))
        .tests(3_000)
        .quicktest(property as fn(Vec<Step>) -> bool)
}

#[test]
fn orders_are_executed_in_token_order() {
    assert!(check(Variant::Correct).is_ok());
}

#[test]
fn a_gate_that_never_reads_is_detected() {
    assert!(check(Variant::NeverReads).is_err_and(|r| r.is_failure() && !r.is_error()));
}

#[test]
fn a_permit_that_never_expires_is_detected() {
    assert!(check(Variant::NeverExpires).is_err_and(|r| r.is_failure() && !r.is_error()));
}
