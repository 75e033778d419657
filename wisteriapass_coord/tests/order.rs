//! Orders under fencing tokens, for targets that check them and for those that do not.

mod flaky_store;

use std::time::{Duration, Instant};

use quickcheck::{Arbitrary, Gen, QuickCheck};

use flaky_store::FlakyStore;
use wisteriapass_coord::membership::Incarnation;
use wisteriapass_coord::order::{
    FencingGate, FencingToken, IssueOutcome, Order, PERMIT_TERM, Refusal, WeightBucket, issue,
    read_order,
};

fn role(role: &str) -> Order {
    Order::ChangeRole { role: role.into() }
}

fn issue_from(store: &FlakyStore, seen: u64, name: &str) -> IssueOutcome {
    let holder = Incarnation::new(seen, 0);
    issue(store, "t1", FencingToken(seen), &role(name), holder, name).unwrap()
}

/// A target that checks tokens or ignores them.
struct Target {
    checks: bool,
    highest: FencingToken,
    carried_out: Vec<(FencingToken, Order)>,
}

impl Target {
    fn new(checks: bool) -> Self {
        Self {
            checks,
            highest: FencingToken(0),
            carried_out: Vec::new(),
        }
    }

    fn take(&mut self, token: FencingToken, order: Order) {
        if self.checks && token < self.highest {
            return;
        }
        self.highest = self.highest.max(token);
        self.carried_out.push((token, order));
    }

    fn is_in_order(&self) -> bool {
        self.carried_out.is_sorted_by(|a, b| a.0 < b.0)
    }
}

/// Sends a message about the order `offered` through the gate.
fn send(
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
    target.take(permit.token, permit.order);
    None
}

#[test]
fn a_holder_paused_past_its_lease_has_no_old_order_carried_out() {
    for checks in [true, false] {
        let store = FlakyStore::default();
        let mut gate = FencingGate::new("t1");
        let mut target = Target::new(checks);
        assert_eq!(
            issue_from(&store, 0, "old"),
            IssueOutcome::Accepted(FencingToken(1))
        );
        // The holder pauses before it sends; another takes over and is carried out.
        assert_eq!(
            issue_from(&store, 1, "new"),
            IssueOutcome::Accepted(FencingToken(2))
        );
        assert_eq!(send(&mut gate, &mut target, &store, 2), None);
        let refusal = send(&mut gate, &mut target, &store, 1);
        assert!(matches!(refusal, Some(Refusal::Stale { .. })));
        // It wakes and orders again from what it knew.
        assert!(matches!(
            issue_from(&store, 1, "again"),
            IssueOutcome::Superseded(_)
        ));
        assert_eq!(target.carried_out, [(FencingToken(2), role("new"))]);
    }
}

#[test]
fn a_gate_that_lost_its_memory_still_refuses_the_old_order() {
    for checks in [true, false] {
        let store = FlakyStore::default();
        let mut target = Target::new(checks);
        issue_from(&store, 0, "old");
        issue_from(&store, 1, "new");
        send(&mut FencingGate::new("t1"), &mut target, &store, 2);
        let refusal = send(&mut FencingGate::new("t1"), &mut target, &store, 1);
        assert!(matches!(refusal, Some(Refusal::Stale { .. })));
        assert!(target.is_in_order());
    }
}

#[test]
fn a_gate_that_cannot_read_the_service_refuses() {
    let store = FlakyStore::default();
    issue_from(&store, 0, "a");
    store.set_down(true);
    let refused = FencingGate::new("t1").admit(&store, FencingToken(1), Instant::now());
    assert!(matches!(refused, Err(Refusal::Unproved(_))));
}

#[test]
fn a_gate_that_paused_between_proof_and_order_reads_again() {
    let store = FlakyStore::default();
    let mut gate = FencingGate::new("t1");
    issue_from(&store, 0, "a");
    let now = Instant::now();
    let permit = gate.admit(&store, FencingToken(1), now).unwrap();
    assert_eq!(
        gate.redeem(&permit, now + PERMIT_TERM),
        Err(Refusal::Expired)
    );
    let fake = gate.admit(&store, FencingToken(7), now);
    assert!(matches!(fake, Err(Refusal::NotIssued { .. })));
}

#[test]
fn an_order_whose_answer_was_lost_is_issued_once() {
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
fn the_weight_store_is_read_within_its_rate() {
    let store = FlakyStore::default();
    let bucket = WeightBucket::new(1_000);
    let start = |op: &str, now_ms| bucket.reserve(&store, 2_000, now_ms, op).unwrap().at_ms;
    assert_eq!(start("a", 100), 100);
    assert_eq!(start("b", 100), 2_100);
    store.lose_next_answer();
    assert_eq!(start("c", 0), 4_100, "a slow clock waits its turn");
    assert_eq!(start("c", 9_000), 4_100, "a repeat keeps its start");
    assert_eq!(start("d", 9_000), 9_000);
}

/// What a gate under test gets wrong on purpose.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Variant {
    Sound,
    /// It trusts its memory and does not read the service.
    NeverReads,
    /// It takes a permit however old it is.
    NeverExpires,
}

#[derive(Clone, Debug)]
enum Step {
    Issue(u8),
    Arrive(u8),
    Pause(u16),
    Pass(u8),
    RestartGate,
    Outage(bool),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let n = u8::arbitrary(g);
        match u8::arbitrary(g) % 10 {
            0..=2 => Self::Issue(n),
            3..=5 => Self::Arrive(n % 6),
            6 => Self::Pause(u16::arbitrary(g)),
            7 | 8 => Self::Pass(n),
            _ if n.is_multiple_of(2) => Self::RestartGate,
            _ => Self::Outage(n.is_multiple_of(3)),
        }
    }
}

/// Returns whether a target that ignores tokens never carries out an order older than one that it
/// carried out, nor one that was not the latest within the term of its proof.
fn holds(variant: Variant, steps: &[Step]) -> bool {
    let store = FlakyStore::default();
    let mut gate = FencingGate::new("t1");
    let mut target = Target::new(false);
    let mut permits = Vec::new();
    let mut overtaken: Vec<(u64, Instant)> = Vec::new();
    let mut now = Instant::now();
    for step in steps {
        match *step {
            Step::Issue(n) => {
                let seen = overtaken.len() as u64;
                let op = format!("{n}-{seen}");
                let holder = Incarnation::new(seen, 0);
                let order = role(&op);
                let issued = issue(&store, "t1", FencingToken(seen), &order, holder, &op);
                if issued.is_ok() {
                    overtaken.push((seen, now));
                }
            }
            Step::Arrive(n) => {
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
            Step::Pass(n) if !permits.is_empty() => {
                let permit = permits.remove(usize::from(n) % permits.len());
                let expires_at = permit.expires_at;
                let at = match variant {
                    Variant::NeverExpires => now.min(expires_at - Duration::from_millis(1)),
                    _ => now,
                };
                if gate.redeem(&permit, at).is_ok() {
                    let next = overtaken.get(usize::try_from(permit.token.0).unwrap());
                    if next.is_some_and(|(_, at)| *at + PERMIT_TERM <= now) {
                        return false;
                    }
                    target.take(permit.token, permit.order);
                }
            }
            Step::Pass(_) => {}
            // Permits live in the memory of the gate's process and go with it.
            Step::RestartGate => {
                gate = FencingGate::new("t1");
                permits.clear();
            }
            Step::Outage(is_down) => store.set_down(is_down),
        }
    }
    target.carried_out.is_sorted_by(|a, b| a.0 <= b.0)
}

fn check(variant: Variant) -> Result<u64, quickcheck::TestResult> {
    let property = match variant {
        Variant::Sound => |s: Vec<Step>| holds(Variant::Sound, &s),
        Variant::NeverReads => |s: Vec<Step>| holds(Variant::NeverReads, &s),
        Variant::NeverExpires => |s: Vec<Step>| holds(Variant::NeverExpires, &s),
    };
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 5))
        .tests(3_000)
        .quicktest(property as fn(Vec<Step>) -> bool)
}

#[test]
fn orders_are_carried_out_in_the_order_of_their_tokens() {
    assert!(check(Variant::Sound).is_ok());
}

#[test]
fn a_gate_that_never_reads_is_caught() {
    assert!(check(Variant::NeverReads).is_err_and(|r| r.is_failure() && !r.is_error()));
}

#[test]
fn a_permit_that_never_expires_is_caught() {
    assert!(check(Variant::NeverExpires).is_err_and(|r| r.is_failure() && !r.is_error()));
}
