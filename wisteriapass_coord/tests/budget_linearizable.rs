//! Concurrent writers of one budget with lost answers: their recorded history is linearizable.

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

/// An operation on the budget with its outcome.
#[derive(Clone, Debug)]
enum Op {
    Topup { id: u8, is_new: bool },
    Take { need: u64, granted: u64, free: u64 },
    Return { amount: u64 },
    Read { free: u64, prepaid: u64 },
}

/// The budget as one writer alone would see it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Sequential {
    topups: u64,
    free: u64,
    prepaid: u64,
}

struct BudgetSpec;

impl Specification for BudgetSpec {
    type State = Sequential;
    type Operation = Op;

    fn init() -> Sequential {
        Sequential::default()
    }

    fn apply(op: &Op, state: &Sequential) -> (bool, Sequential) {
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
            Op::Take {
                need,
                granted,
                free,
            } => {
                let size = GrantPolicy::new();
                let amount = size.grant(Tokens(need), Tokens::ZERO, Tokens(10), Tokens(state.free));
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

/// Design faults that the check must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Sound,
    /// The service writes without comparing.
    WriteWithoutCompare,
    /// A writer takes a lost answer for "did not take effect" and starts a new operation.
    LostAnswerIsForgotten,
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
    used: u64,
    budget: BudgetId,
}

impl Client<'_> {
    fn step(&mut self, rng: &mut StdRng) {
        if rng.random_bool(0.3) {
            let fates = [
                SwapFault::ResponseLost,
                SwapFault::Delayed,
                SwapFault::RequestLost,
                SwapFault::Unreachable,
            ];
            let mut planned = vec![fates[rng.random_range(0..4)]];
            planned.extend(rng.random_bool(0.5).then_some(SwapFault::Unreachable));
            self.store.plan_faults(planned);
        }
        match rng.random_range(0..6) {
            0 => self.topup(self.process as u8 * 4 + rng.random_range(0..4)),
            1 | 2 => self.take(rng.random_range(1..300)),
            3 | 4 if self.held > 0 => self.give_back(rng.random_range(1..=self.held)),
            _ => self.read(),
        }
    }

    fn topup(&mut self, id: u8) {
        let was_used = self.used & (1 << id) != 0;
        self.used |= 1 << id;
        self.recorder
            .call(self.process, Op::Topup { id, is_new: false });
        let mut was_unknown = false;
        loop {
            let ledger = Ledger::new(self.store, &self.journal);
            let topup = ledger.topup(&self.budget, &TopupId(format!("t{id}")), Tokens(TOPUP));
            match topup {
                Ok(topup) => {
                    // No other writer uses this one's ids, so a top-up that seems repeated after
                    // a lost answer is its own.
                    let is_new = topup == Topup::Applied || (was_unknown && !was_used);
                    self.recorder
                        .response(self.process, Op::Topup { id, is_new });
                    return;
                }
                Err(e) => was_unknown |= !e.is_without_effect(),
            }
        }
    }

    fn take(&mut self, need: u64) {
        let call = Op::Take {
            need,
            granted: 0,
            free: 0,
        };
        self.recorder.call(self.process, call);
        let want = GrantRequest {
            budget: self.budget.clone(),
            need: Tokens(need),
            held: Tokens::ZERO,
            usage_per_second: Tokens(10),
        };
        let mut exchange =
            Ledger::new(self.store, &self.journal).request_grants(vec![want.clone()]);
        while exchange.grants.is_empty() {
            if self.gives_up(exchange.error.as_ref()) {
                return;
            }
            let is_pending = self.journal.has_pending();
            if is_pending && self.variant == Variant::LostAnswerIsForgotten {
                self.journal = self.fresh_journal();
            }
            let ledger = Ledger::new(self.store, &self.journal);
            exchange = if is_pending && self.variant == Variant::Sound {
                ledger.complete_pending()
            } else {
                ledger.request_grants(vec![want.clone()])
            };
        }
        let granted = exchange.grants[0].amount.0;
        let free = exchange.grants[0].free.0;
        self.held += granted;
        let response = Op::Take {
            need,
            granted,
            free,
        };
        self.recorder.response(self.process, response);
    }

    fn give_back(&mut self, amount: u64) {
        self.recorder.call(self.process, Op::Return { amount });
        let mut reports = vec![UsageReport {
            budget: self.budget.clone(),
            origin: self.journal.writer(),
            spent: Tokens::ZERO,
            returned: Tokens(amount),
        }];
        while !reports.is_empty() || self.journal.has_pending() {
            let ledger = Ledger::new(self.store, &self.journal);
            let exchange = ledger.send_reports(std::mem::take(&mut reports));
            if self.gives_up(exchange.error.as_ref()) {
                return;
            }
            reports = exchange.unapplied;
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

    /// Stops at a record that refuses the operation, which only a broken variant brings about.
    fn gives_up(&self, failed: Option<&LedgerError>) -> bool {
        let is_refused = matches!(failed, Some(LedgerError::Record(_)));
        self.recorder
            .is_refused
            .fetch_or(is_refused, Ordering::Relaxed);
        is_refused
    }

    fn fresh_journal(&self) -> Journal {
        let origin = self.next_origin.fetch_add(1, Ordering::Relaxed);
        Journal::new(Origin(origin as u64), Shards::new(1))
    }
}

/// Runs concurrent writers; returns whether their history is linearizable.
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
                used: 0,
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
fn histories_with_lost_answers_are_linearizable() {
    for seed in 0..60 {
        assert!(is_linearizable(Variant::Sound, seed), "seed {seed}");
    }
}

#[test]
fn broken_variants_are_not_linearizable() {
    for variant in [Variant::WriteWithoutCompare, Variant::LostAnswerIsForgotten] {
        let is_found = (0..200).any(|seed| !is_linearizable(variant, seed));
        assert!(is_found, "{variant:?} was not found");
    }
}
