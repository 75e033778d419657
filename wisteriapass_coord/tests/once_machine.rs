//! Random interleavings of callers, routers and side processes.
//!
//! A non-idempotent request runs at most once, "not run" is never reported wrongly, and a known run
//! is found again. Variants of the protocol with a deliberate fault are detected.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{FaultyStore, SwapFault};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use wisteriapass_coord::Millis;
use wisteriapass_coord::once::{
    Attempt, BeginOutcome, Claim, ClaimOpId, ClaimOutcome, Claims, HeldClaimAction, HolderAnswer,
    Place, Retention, RunDispatch, RunId, RunTable, WithdrawalOutcome,
};

const SIDES: usize = 2;
const KEYS: usize = 2;
const DAY_MS: u64 = 86_400_000;
const ANSWER_KEPT_MS: u64 = 50;
const START_DEADLINE_MS: u64 = 20;

/// Variants of the protocol; each one except `Sound` has a fault that the test must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Sound,
    NoClaim,
    RetryAfterTimeout,
    TakeOverWithoutWithdrawal,
    TrustOtherIncarnation,
    AcceptLateDispatch,
    ForgetOutcome,
}

/// What happens to a dispatch in transit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    Answered,
    AnswerLost,
    Lost,
    Delayed,
}

#[derive(Clone, Debug)]
enum Step {
    Request {
        key: usize,
        side: usize,
        fates: Vec<SwapFault>,
        delivery: Delivery,
        is_holder_reachable: bool,
    },
    Deliver,
    Restart {
        side: usize,
    },
    Finish {
        side: usize,
    },
    Wait {
        ms: u8,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let side = usize::arbitrary(g) % SIDES;
        match u8::arbitrary(g) % 10 {
            0..=4 => {
                let fates = [
                    SwapFault::None,
                    SwapFault::None,
                    SwapFault::ResponseLost,
                    SwapFault::RequestLost,
                    SwapFault::Unreachable,
                ];
                let deliveries = [
                    Delivery::Answered,
                    Delivery::AnswerLost,
                    Delivery::Lost,
                    Delivery::Delayed,
                ];
                Self::Request {
                    key: usize::arbitrary(g) % KEYS,
                    side,
                    fates: (0..4).map(|_| *g.choose(&fates).unwrap()).collect(),
                    delivery: *g.choose(&deliveries).unwrap(),
                    is_holder_reachable: u8::arbitrary(g) % 4 != 0,
                }
            }
            5 | 6 => Self::Deliver,
            7 => Self::Restart { side },
            8 => Self::Finish { side },
            _ => Self::Wait {
                ms: u8::arbitrary(g) % 60,
            },
        }
    }
}

/// Answer to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerAnswer {
    Followed,
    NotRun,
    Unknown,
}

struct Side {
    incarnation: String,
    table: RunTable<u64>,
}

impl Side {
    fn new(number: u64) -> Self {
        let incarnation = format!("i{number}");
        Self {
            table: RunTable::new(incarnation.clone()),
            incarnation,
        }
    }
}

struct Simulation {
    variant: Variant,
    store: FaultyStore,
    sides: Vec<Side>,
    delayed: Vec<(usize, u64, RunDispatch)>,
    now: Millis,
    last_number: u64,
    /// Requests that the target executed, by run.
    executed: BTreeMap<RunId, Vec<u64>>,
    reported_not_run: BTreeSet<u64>,
    violation: Option<String>,
}

impl Simulation {
    fn new(variant: Variant) -> Self {
        Self {
            variant,
            store: FaultyStore::new(),
            sides: (0..SIDES as u64).map(Side::new).collect(),
            delayed: Vec::new(),
            now: Millis(1_000),
            last_number: 100,
            executed: BTreeMap::new(),
            reported_not_run: BTreeSet::new(),
            violation: None,
        }
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Request {
                key,
                side,
                fates,
                delivery,
                is_holder_reachable,
            } => {
                self.store.plan_faults(fates.iter().copied());
                self.last_number += 1;
                let request = self.last_number;
                let run = RunId::keyed("acme", &format!("key{key}"));
                let answer =
                    self.handle_request(request, &run, *side, *delivery, *is_holder_reachable);
                self.store.plan_faults([]);
                self.check_answer(request, &run, answer);
            }
            Step::Deliver => {
                if let Some((side, request, dispatch)) = self.delayed.pop() {
                    let _ = self.deliver(side, request, &dispatch);
                }
            }
            Step::Restart { side } => {
                self.last_number += 1;
                self.sides[*side] = Side::new(self.last_number);
            }
            Step::Finish { side } => self.finish(*side),
            Step::Wait { ms } => {
                self.now = self.now.plus(u64::from(*ms));
                self.sweep();
            }
        }
    }

    fn check_answer(&mut self, request: u64, run: &RunId, answer: CallerAnswer) {
        if answer != CallerAnswer::NotRun {
            return;
        }
        self.reported_not_run.insert(request);
        if self.executed.contains_key(run) {
            self.violation = Some(format!(
                "{run} ran, but request {request} was reported as not run"
            ));
        }
    }

    /// Handles a non-idempotent request as a router does.
    fn handle_request(
        &mut self,
        request: u64,
        run: &RunId,
        side: usize,
        delivery: Delivery,
        is_reachable: bool,
    ) -> CallerAnswer {
        if self.variant == Variant::NoClaim {
            return self.send(request, run, side, Attempt::FIRST, delivery);
        }
        let claim = self.new_claim(request, side, Attempt::FIRST);
        let claimed = Claims::new(&self.store).claim(run, &claim);
        let (held, revision) = match claimed {
            Ok(ClaimOutcome::Acquired) => {
                return self.send(request, run, side, Attempt::FIRST, delivery);
            }
            Ok(ClaimOutcome::Held { claim, revision }) => (claim, revision),
            // Without an answer from the key-value service, an earlier request may have run.
            Err(_) => return CallerAnswer::Unknown,
        };
        match self.ask_holder(run, &held, is_reachable) {
            HeldClaimAction::Follow(_) => CallerAnswer::Followed,
            HeldClaimAction::ReportUnknown => CallerAnswer::Unknown,
            HeldClaimAction::TakeOver(attempt) => {
                let claim = self.new_claim(request, side, attempt);
                match Claims::new(&self.store).take_over(run, &claim, revision) {
                    Ok(ClaimOutcome::Acquired) => self.send(request, run, side, attempt, delivery),
                    Ok(ClaimOutcome::Held { .. }) | Err(_) => CallerAnswer::Unknown,
                }
            }
        }
    }

    fn new_claim(&self, request: u64, side: usize, attempt: Attempt) -> Claim {
        Claim {
            place: Place::new(side.to_string(), &self.sides[side].incarnation),
            attempt,
            op: ClaimOpId(request.to_string()),
            until: self.now.plus(DAY_MS),
        }
    }

    /// Asks the side process named in a claim to withdraw the claimed attempt.
    fn ask_holder(&mut self, run: &RunId, held: &Claim, is_reachable: bool) -> HeldClaimAction {
        if self.variant == Variant::TakeOverWithoutWithdrawal {
            return HeldClaimAction::TakeOver(held.attempt.next());
        }
        if !is_reachable {
            return HeldClaimAction::decide(held, None);
        }
        let index: usize = held.place.side.parse().unwrap();
        let until = self.now.plus(DAY_MS);
        let side = &mut self.sides[index];
        let answer = match side.table.withdraw(run, held.attempt, until) {
            WithdrawalOutcome::NeverRuns => HolderAnswer::NeverRuns,
            WithdrawalOutcome::Running(_) | WithdrawalOutcome::Ended(_) => HolderAnswer::Present,
            WithdrawalOutcome::AnswerDropped => HolderAnswer::AnswerDropped,
        };
        if self.variant == Variant::TrustOtherIncarnation {
            return HeldClaimAction::decide(held, Some((&held.place.incarnation, answer)));
        }
        HeldClaimAction::decide(held, Some((&side.incarnation, answer)))
    }

    fn send(
        &mut self,
        request: u64,
        run: &RunId,
        side: usize,
        attempt: Attempt,
        delivery: Delivery,
    ) -> CallerAnswer {
        let mut dispatch = RunDispatch {
            run: run.clone(),
            fingerprint: "same".into(),
            attempt,
            incarnation: Some(self.sides[side].incarnation.clone()),
            start_by: self.now.plus(START_DEADLINE_MS),
            payment: None,
            is_idempotent: false,
        };
        if self.variant == Variant::AcceptLateDispatch {
            dispatch.start_by = Millis(u64::MAX);
            dispatch.attempt = Attempt(u32::MAX);
        }
        match delivery {
            Delivery::Answered => self.deliver(side, request, &dispatch),
            Delivery::AnswerLost => {
                let _ = self.deliver(side, request, &dispatch);
                self.handle_lost(request, run, side, attempt)
            }
            Delivery::Lost => self.handle_lost(request, run, side, attempt),
            Delivery::Delayed => {
                self.delayed.push((side, request, dispatch));
                self.handle_lost(request, run, side, attempt)
            }
        }
    }

    /// Handles a dispatch without an answer: the router withdraws the attempt at the same
    /// incarnation, or reports an unknown outcome.
    fn handle_lost(
        &mut self,
        request: u64,
        run: &RunId,
        side: usize,
        attempt: Attempt,
    ) -> CallerAnswer {
        if self.variant == Variant::RetryAfterTimeout {
            let other = (side + 1) % SIDES;
            return self.send(request, run, other, attempt, Delivery::Answered);
        }
        // Every third router loses its connection permanently and can't withdraw the attempt.
        if request.is_multiple_of(3) {
            return CallerAnswer::Unknown;
        }
        let until = self.now.plus(DAY_MS);
        match self.sides[side].table.withdraw(run, attempt, until) {
            WithdrawalOutcome::NeverRuns => CallerAnswer::NotRun,
            WithdrawalOutcome::Running(_) | WithdrawalOutcome::Ended(_) => CallerAnswer::Followed,
            WithdrawalOutcome::AnswerDropped => CallerAnswer::Unknown,
        }
    }

    fn deliver(&mut self, side: usize, request: u64, dispatch: &RunDispatch) -> CallerAnswer {
        let begun = self.sides[side].table.begin(dispatch, self.now, || request);
        match begun {
            Ok(BeginOutcome::New(_)) => {
                self.execute(request, &dispatch.run);
                CallerAnswer::Followed
            }
            Ok(BeginOutcome::Existing(_)) => CallerAnswer::Followed,
            Err(_) => CallerAnswer::Unknown,
        }
    }

    fn execute(&mut self, request: u64, run: &RunId) {
        let executed = self.executed.entry(run.clone()).or_default();
        executed.push(request);
        if executed.len() > 1 {
            self.violation = Some(format!("{run} ran for requests {executed:?}"));
        }
        if self.reported_not_run.contains(&request) {
            self.violation = Some(format!(
                "request {request} ran after it was reported as not run"
            ));
        }
    }

    fn finish(&mut self, side: usize) {
        let now = self.now;
        let table = &mut self.sides[side].table;
        let runs: Vec<RunId> = table.runs().map(|(id, _)| id.clone()).collect();
        for run in runs {
            table.end(&run, 0.into(), 10, now);
        }
    }

    fn sweep(&mut self) {
        let retention = Retention {
            answers_since: Millis(self.now.0.saturating_sub(ANSWER_KEPT_MS)),
            max_answer_bytes: 10,
            outcomes_since: if self.variant == Variant::ForgetOutcome {
                Millis(u64::MAX)
            } else {
                Millis(0)
            },
        };
        let now = self.now;
        for side in &mut self.sides {
            side.table.sweep(retention, now);
        }
    }
}

fn simulate(variant: Variant, steps: &[Step]) -> Option<String> {
    let mut simulation = Simulation::new(variant);
    for (i, step) in steps.iter().enumerate() {
        simulation.apply(step);
        if let Some(violation) = simulation.violation.take() {
            return Some(format!("step {i}: {violation}"));
        }
    }
    None
}

#[test]
fn a_non_idempotent_request_runs_at_most_once() {
    fn holds(steps: Vec<Step>) -> Result<(), String> {
        simulate(Variant::Sound, &steps).map_or(Ok(()), Err)
    }
    let result = QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 0x0011))
        .tests(5_000)
        .max_tests(5_000)
        .quicktest(holds as fn(Vec<Step>) -> Result<(), String>);
    assert!(result.is_ok(), "{result:?}");
}

#[test]
fn faulty_variants_are_detected() {
    let is_detected = |variant| {
        let mut g = Gen::from_size_and_seed(60, 0x0012);
        (0..5_000).any(|_| simulate(variant, &Vec::<Step>::arbitrary(&mut g)).is_some())
    };
    let faulty = [
        Variant::NoClaim,
        Variant::RetryAfterTimeout,
        Variant::TakeOverWithoutWithdrawal,
        Variant::TrustOtherIncarnation,
        Variant::AcceptLateDispatch,
        Variant::ForgetOutcome,
    ];
    let missed: Vec<_> = faulty.into_iter().filter(|v| !is_detected(*v)).collect();
    assert!(missed.is_empty(), "not detected: {missed:?}");
}
