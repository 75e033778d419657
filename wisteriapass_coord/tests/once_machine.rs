//! Random interleavings of callers, routers and side processes: a non-idempotent request runs at
//! most once, "not run" is never wrong, and a known run is found again; broken variants are found.

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
const KEPT_MS: u64 = 50;
const START_MS: u64 = 20;

/// Deliberate faults of a design, each of which must be found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Sound,
    NoClaim,
    RetryAfterTimeout,
    TakeOverWithoutWithdrawal,
    OtherIncarnationMayAnswer,
    LateDispatchIsTaken,
    OutcomeIsForgotten,
}

/// What happens to a dispatch on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
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
        way: Way,
        holder_reachable: bool,
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
                let ways = [Way::Answered, Way::AnswerLost, Way::Lost, Way::Delayed];
                Self::Request {
                    key: usize::arbitrary(g) % KEYS,
                    side,
                    fates: (0..4).map(|_| *g.choose(&fates).unwrap()).collect(),
                    way: *g.choose(&ways).unwrap(),
                    holder_reachable: u8::arbitrary(g) % 4 != 0,
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

/// What a caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
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

struct World {
    variant: Variant,
    store: FaultyStore,
    sides: Vec<Side>,
    delayed: Vec<(usize, u64, RunDispatch)>,
    now: Millis,
    next: u64,
    /// Requests that the target carried out, by key.
    ran: BTreeMap<RunId, Vec<u64>>,
    told_not_run: BTreeSet<u64>,
    fault: Option<String>,
}

impl World {
    fn new(variant: Variant) -> Self {
        Self {
            variant,
            store: FaultyStore::new(),
            sides: (0..SIDES as u64).map(Side::new).collect(),
            delayed: Vec::new(),
            now: Millis(1_000),
            next: 100,
            ran: BTreeMap::new(),
            told_not_run: BTreeSet::new(),
            fault: None,
        }
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Request {
                key,
                side,
                fates,
                way,
                holder_reachable,
            } => {
                self.store.plan_faults(fates.iter().copied());
                self.next += 1;
                let request = self.next;
                let run = RunId::keyed("acme", &format!("key{key}"));
                let told = self.request(request, &run, *side, *way, *holder_reachable);
                self.store.plan_faults([]);
                self.check_told(request, &run, told);
            }
            Step::Deliver => {
                if let Some((side, request, order)) = self.delayed.pop() {
                    let _ = self.deliver(side, request, &order);
                }
            }
            Step::Restart { side } => {
                self.next += 1;
                self.sides[*side] = Side::new(self.next);
            }
            Step::Finish { side } => self.finish(*side),
            Step::Wait { ms } => {
                self.now = self.now.plus(u64::from(*ms));
                self.sweep();
            }
        }
    }

    fn check_told(&mut self, request: u64, run: &RunId, told: Told) {
        if told != Told::NotRun {
            return;
        }
        self.told_not_run.insert(request);
        if self.ran.contains_key(run) {
            self.fault = Some(format!(
                "{run} ran, and request {request} was told it did not"
            ));
        }
    }

    /// The router's side of a non-idempotent request.
    fn request(
        &mut self,
        request: u64,
        run: &RunId,
        side: usize,
        way: Way,
        reachable: bool,
    ) -> Told {
        if self.variant == Variant::NoClaim {
            return self.send(request, run, side, Attempt::FIRST, way);
        }
        let claim = self.claim(request, side, Attempt::FIRST);
        let claimed = Claims::new(&self.store).claim(run, &claim);
        let (held, revision) = match claimed {
            Ok(ClaimOutcome::Acquired) => {
                return self.send(request, run, side, Attempt::FIRST, way);
            }
            Ok(ClaimOutcome::Held { claim, revision }) => (claim, revision),
            // Without an answer of the service nobody can say whether an earlier request ran.
            Err(_) => return Told::Unknown,
        };
        match self.judge(run, &held, reachable) {
            HeldClaimAction::Follow(_) => Told::Followed,
            HeldClaimAction::ReportUnknown => Told::Unknown,
            HeldClaimAction::TakeOver(attempt) => {
                let claim = self.claim(request, side, attempt);
                match Claims::new(&self.store).take_over(run, &claim, revision) {
                    Ok(ClaimOutcome::Acquired) => self.send(request, run, side, attempt, way),
                    Ok(ClaimOutcome::Held { .. }) | Err(_) => Told::Unknown,
                }
            }
        }
    }

    fn claim(&self, request: u64, side: usize, attempt: Attempt) -> Claim {
        Claim {
            place: Place::new(side.to_string(), &self.sides[side].incarnation),
            attempt,
            op: ClaimOpId(request.to_string()),
            until: self.now.plus(DAY_MS),
        }
    }

    /// Asks the holder of a claim.
    fn judge(&mut self, run: &RunId, held: &Claim, reachable: bool) -> HeldClaimAction {
        if self.variant == Variant::TakeOverWithoutWithdrawal {
            return HeldClaimAction::TakeOver(held.attempt.next());
        }
        if !reachable {
            return HeldClaimAction::decide(held, None);
        }
        let index: usize = held.place.side.parse().unwrap();
        let until = self.now.plus(DAY_MS);
        let side = &mut self.sides[index];
        let says = match side.table.withdraw(run, held.attempt, until) {
            WithdrawalOutcome::NeverRuns => HolderAnswer::NeverRuns,
            WithdrawalOutcome::Running(_) | WithdrawalOutcome::Ended(_) => HolderAnswer::Present,
            WithdrawalOutcome::AnswerDropped => HolderAnswer::AnswerDropped,
        };
        if self.variant == Variant::OtherIncarnationMayAnswer {
            return HeldClaimAction::decide(held, Some((&held.place.incarnation, says)));
        }
        HeldClaimAction::decide(held, Some((&side.incarnation, says)))
    }

    fn send(&mut self, request: u64, run: &RunId, side: usize, attempt: Attempt, way: Way) -> Told {
        let mut order = RunDispatch {
            run: run.clone(),
            fingerprint: "same".into(),
            attempt,
            incarnation: Some(self.sides[side].incarnation.clone()),
            start_by: self.now.plus(START_MS),
            payment: None,
            is_idempotent: false,
        };
        if self.variant == Variant::LateDispatchIsTaken {
            order.start_by = Millis(u64::MAX);
            order.attempt = Attempt(u32::MAX);
        }
        match way {
            Way::Answered => self.deliver(side, request, &order),
            Way::AnswerLost => {
                let _ = self.deliver(side, request, &order);
                self.lost(request, run, side, attempt)
            }
            Way::Lost => self.lost(request, run, side, attempt),
            Way::Delayed => {
                self.delayed.push((side, request, order));
                self.lost(request, run, side, attempt)
            }
        }
    }

    /// Nothing came back: the router withdraws the attempt at the same incarnation, or says that
    /// the outcome is unknown.
    fn lost(&mut self, request: u64, run: &RunId, side: usize, attempt: Attempt) -> Told {
        if self.variant == Variant::RetryAfterTimeout {
            let other = (side + 1) % SIDES;
            return self.send(request, run, other, attempt, Way::Answered);
        }
        // Every third router loses its own connection for good and can't withdraw.
        if request.is_multiple_of(3) {
            return Told::Unknown;
        }
        let until = self.now.plus(DAY_MS);
        match self.sides[side].table.withdraw(run, attempt, until) {
            WithdrawalOutcome::NeverRuns => Told::NotRun,
            WithdrawalOutcome::Running(_) | WithdrawalOutcome::Ended(_) => Told::Followed,
            WithdrawalOutcome::AnswerDropped => Told::Unknown,
        }
    }

    fn deliver(&mut self, side: usize, request: u64, order: &RunDispatch) -> Told {
        let begun = self.sides[side].table.begin(order, self.now, || request);
        match begun {
            Ok(BeginOutcome::New(_)) => {
                self.execute(request, &order.run);
                Told::Followed
            }
            Ok(BeginOutcome::Existing(_)) => Told::Followed,
            Err(_) => Told::Unknown,
        }
    }

    fn execute(&mut self, request: u64, run: &RunId) {
        let ran = self.ran.entry(run.clone()).or_default();
        ran.push(request);
        if ran.len() > 1 {
            self.fault = Some(format!("{run} ran for requests {ran:?}"));
        }
        if self.told_not_run.contains(&request) {
            self.fault = Some(format!(
                "request {request} runs after it was told it did not"
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
        let keep = Retention {
            answers_since: Millis(self.now.0.saturating_sub(KEPT_MS)),
            max_answer_bytes: 10,
            outcomes_since: if self.variant == Variant::OutcomeIsForgotten {
                Millis(u64::MAX)
            } else {
                Millis(0)
            },
        };
        let now = self.now;
        for side in &mut self.sides {
            side.table.sweep(keep, now);
        }
    }
}

fn play(variant: Variant, steps: &[Step]) -> Option<String> {
    let mut world = World::new(variant);
    for (i, step) in steps.iter().enumerate() {
        world.apply(step);
        if let Some(fault) = world.fault.take() {
            return Some(format!("step {i}: {fault}"));
        }
    }
    None
}

#[test]
fn a_non_idempotent_request_runs_at_most_once() {
    fn holds(steps: Vec<Step>) -> Result<(), String> {
        play(Variant::Sound, &steps).map_or(Ok(()), Err)
    }
    let result = QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 0x0011))
        .tests(5_000)
        .max_tests(5_000)
        .quicktest(holds as fn(Vec<Step>) -> Result<(), String>);
    assert!(result.is_ok(), "{result:?}");
}

#[test]
fn broken_variants_are_found() {
    let is_found = |variant| {
        let mut g = Gen::from_size_and_seed(60, 0x0012);
        (0..5_000).any(|_| play(variant, &Vec::<Step>::arbitrary(&mut g)).is_some())
    };
    let broken = [
        Variant::NoClaim,
        Variant::RetryAfterTimeout,
        Variant::TakeOverWithoutWithdrawal,
        Variant::OtherIncarnationMayAnswer,
        Variant::LateDispatchIsTaken,
        Variant::OutcomeIsForgotten,
    ];
    let missed: Vec<_> = broken.into_iter().filter(|v| !is_found(*v)).collect();
    assert!(missed.is_empty(), "not found: {missed:?}");
}
