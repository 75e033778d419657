//! Histories of concurrent writers of one budget with lost responses must be linearizable.

mod common;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;

use common::{FaultyStore, SwapFault};
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;
use wisteriapass_coord::budget::{
    BudgetId, GrantPolicy, GrantRequest, Journal, Ledger, LedgerError, Origin, Shards, Tokens,
    Topup, TopupId, UsageReport,
};

const WRITERS: usize = 4;
const OPS: usize = 8;
const TOPUP: u64 = 900;

/// Operation on the budget with its result.
#[derive(Clone, Debug)]
enum Op {
    Topup { id: u8, is_new: bool },
    Grant { need: u64, granted: u64, free: u64 },
    Return { amount: u64 },
    Read { free: u64, prepaid: u64 },
}

/// Sequential model of the budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct BudgetState {
    topups: u64,
    free: u64,
    prepaid: u64,
}

struct BudgetSpec;

impl Specification for BudgetSpec {
    type State = BudgetState;
    type Operation = Op;

    fn init() -> BudgetState {
        BudgetState::default()
    }

    fn apply(op: &Op, state: &BudgetState) -> (bool, BudgetState) {
        let mut next = state.clone();
        let is_valid = match *op {
            Op::Topup { id, is_new } => {
                let bit = 1 << id;
                let was_new = state.topups & bit == 0;
                if was_new {
                    next.topups |= bit;
                    next.free += TOPUP;
                    next.prepaid += TOPUP;
                }
                is_new == was_new
            }
            Op::Grant {
                need,
                granted,
                free,
            } => {
                let policy = GrantPolicy::new();
                let amount =
                    policy.grant(Tokens(need), Tokens::ZERO, Tokens(10), Tokens(state.free));
                next.free -= amount.0;
                amount.0 == granted && next.free == free
            }
            Op::Return { amount } => {
                next.free += amount;
                true
            }
            Op::Read { free, prepaid } => free == state.free && prepaid == state.prepaid,
        };
        if is_valid {
            (true, next)
        } else {
            (false, state.clone())
        }
    }
}

/// The sound design, and design faults that the check must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Sound,
    /// The store writes without comparing the revision.
    WriteWithoutCompare,
    /// A writer assumes that an operation without a response did not take effect, and starts a new
    /// one.
    LostResponseIgnored,
}

#[derive(Default)]
struct Recorder {
    actions: Mutex<Vec<(usize, Action<Op>)>>,
    is_refused: AtomicBool,
}

impl Recorder {
    fn call(&self, process: usize, op: Op) {
        self.actions.lock().push((process, Action::Call(op)));
    }

    fn response(&self, process: usize, op: Op) {
        self.actions.lock().push((process, Action::Response(op)));
    }
}

struct Client<'a> {
    variant: Variant,
    process: usize,
    store: &'a FaultyStore,
    journal: Journal,
    next_origin: &'a AtomicUsize,
    recorder: &'a Recorder,
    held: u64,
    used_topups: u64,
    budget: BudgetId,
}

impl Client<'_> {
    fn step(&mut self, rng: &mut StdRng) {
        if rng.random_bool(0.3) {
            let faults = [
                SwapFault::ResponseLost,
                SwapFault::Delayed,
                SwapFault::RequestLost,
                SwapFault::Unreachable,
            ];
            let mut planned = vec![faults[rng.random_range(0..4)]];
            planned.extend(rng.random_bool(0.5).then_some(SwapFault::Unreachable));
            self.store.plan_faults(planned);
        }
        match rng.random_range(0..6) {
            0 => self.topup(self.process as u8 * 4 + rng.random_range(0..4)),
            1 | 2 => self.request_grant(rng.random_range(1..300)),
            3 | 4 if self.held > 0 => self.return_tokens(rng.random_range(1..=self.held)),
            _ => self.read(),
        }
    }

    fn topup(&mut self, id: u8) {
        let was_used = self.used_topups & (1 << id) != 0;
        self.used_topups |= 1 << id;
        self.recorder
            .call(self.process, Op::Topup { id, is_new: false });
        let mut was_unknown = false;
        loop {
            let ledger = Ledger::new(self.store, &self.journal);
            let topup = ledger.topup(&self.budget, &TopupId(format!("t{id}")), Tokens(TOPUP));
            match topup {
                Ok(topup) => {
                    // Each writer has its own top-up ids, so a top-up that is already applied after
                    // a lost response is its own.
                    let is_new = topup == Topup::Applied || (was_unknown && !was_used);
                    self.recorder
                        .response(self.process, Op::Topup { id, is_new });
                    return;
                }
                Err(e) => was_unknown |= !e.is_without_effect(),
            }
        }
    }

    fn request_grant(&mut self, need: u64) {
        let call = Op::Grant {
            need,
            granted: 0,
            free: 0,
        };
        self.recorder.call(self.process, call);
        let request = GrantRequest {
            budget: self.budget.clone(),
            need: Tokens(need),
            held: Tokens::ZERO,
            usage_per_second: Tokens(10),
        };
        let mut outcome =
            Ledger::new(self.store, &self.journal).request_grants(vec![request.clone()]);
        while outcome.grants.is_empty() {
            if self.is_refused_by_record(outcome.error.as_ref()) {
                return;
            }
            let is_pending = self.journal.has_pending();
            if is_pending && self.variant == Variant::LostResponseIgnored {
                self.journal = self.new_journal();
            }
            let ledger = Ledger::new(self.store, &self.journal);
            outcome = if is_pending && self.variant == Variant::Sound {
                ledger.complete_pending()
            } else {
                ledger.request_grants(vec![request.clone()])
            };
        }
        let granted = outcome.grants[0].amount.0;
        let free = outcome.grants[0].free.0;
        self.held += granted;
        let response = Op::Grant {
            need,
            granted,
            free,
        };
        self.recorder.response(self.process, response);
    }

    fn return_tokens(&mut self, amount: u64) {
        self.recorder.call(self.process, Op::Return { amount });
        let mut reports = vec![UsageReport {
            budget: self.budget.clone(),
            origin: self.journal.writer(),
            spent: Tokens::ZERO,
            returned: Tokens(amount),
        }];
        while !reports.is_empty() || self.journal.has_pending() {
            let ledger = Ledger::new(self.store, &self.journal);
            let outcome = ledger.send_reports(std::mem::take(&mut reports));
            if self.is_refused_by_record(outcome.error.as_ref()) {
                return;
            }
            reports = outcome.unapplied;
        }
        self.held -= amount;
        self.recorder.response(self.process, Op::Return { amount });
    }

    fn read(&self) {
        self.recorder.call(
            self.process,
            Op::Read {
                free: 0,
                prepaid: 0,
            },
        );
        let totals = loop {
            if let Ok(totals) = Ledger::new(self.store, &self.journal).totals() {
                break totals;
            }
        };
        let free = totals.first().map_or(0, |t| t.free.0);
        let prepaid = totals.first().map_or(0, |t| t.prepaid.0);
        self.recorder
            .response(self.process, Op::Read { free, prepaid });
    }

    /// Returns whether the record refused the operation, which only a broken variant causes.
    fn is_refused_by_record(&self, failed: Option<&LedgerError>) -> bool {
        let is_refused = matches!(failed, Some(LedgerError::Record(_)));
        self.recorder
            .is_refused
            .fetch_or(is_refused, Ordering::Relaxed);
        is_refused
    }

    fn new_journal(&self) -> Journal {
        let origin = self.next_origin.fetch_add(1, Ordering::Relaxed);
        Journal::new(Origin(origin as u64), Shards::new(1))
    }
}

/// Runs concurrent writers and returns whether their history is linearizable.
fn is_linearizable(variant: Variant, seed: u64) -> bool {
    let mut store = FaultyStore::new();
    store.ignores_revision = variant == Variant::WriteWithoutCompare;
    let recorder = Recorder::default();
    let next_origin = AtomicUsize::new(100);
    thread::scope(|scope| {
        for process in 0..WRITERS {
            let mut client = Client {
                variant,
                process,
                store: &store,
                journal: Journal::new(Origin(process as u64), Shards::new(1)),
                next_origin: &next_origin,
                recorder: &recorder,
                held: 0,
                used_topups: 0,
                budget: BudgetId::new("acme", "main"),
            };
            scope.spawn(move || {
                let mut rng = StdRng::seed_from_u64(seed * 100 + process as u64);
                for _ in 0..OPS {
                    if client.recorder.is_refused.load(Ordering::Relaxed) {
                        return;
                    }
                    client.step(&mut rng);
                    thread::yield_now();
                }
            });
        }
    });
    if recorder.is_refused.into_inner() {
        return false;
    }
    WGLChecker::<BudgetSpec>::is_linearizable(History::from_actions(recorder.actions.into_inner()))
}

#[test]
fn histories_with_lost_responses_are_linearizable() {
    for seed in 0..60 {
        assert!(is_linearizable(Variant::Sound, seed), "seed {seed}");
    }
}

#[test]
fn broken_variants_are_not_linearizable() {
    for variant in [Variant::WriteWithoutCompare, Variant::LostResponseIgnored] {
        let is_detected = (0..200).any(|seed| !is_linearizable(variant, seed));
        assert!(is_detected, "{variant:?} was not detected");
    }
}
