//! Routers, side processes and the store that the steps act on, and the invariants that must hold.

use std::collections::{BTreeMap, BTreeSet};

use wisteriapass_coord::Millis;
use wisteriapass_coord::budget::{
    BudgetId, ExchangeOutcome, GrantRequest, Journal, Ledger, Lot, Origin, Part, Payment,
    Reservation, Shards, SpendingProof, Tokens, TopupId, Transfer, Wallet,
};
use wisteriapass_coord::store::Store;

use crate::common::{FaultyStore, SwapFault};
use crate::step::{BUDGETS, ROUTERS, Step, Variant};

struct Router {
    wallet: Wallet,
    journal: Journal,
    is_dead: bool,
}

impl Router {
    fn new(origin: u64) -> Self {
        Self {
            wallet: Wallet::new(Origin(origin)),
            journal: Journal::new(Origin(origin), Shards::new(2)),
            is_dead: false,
        }
    }
}

/// Work in progress at the side processes.
struct Run {
    router: Origin,
    reservation: Option<Reservation>,
    payment: Payment,
}

pub struct World {
    variant: Variant,
    store: FaultyStore,
    operator: Journal,
    routers: Vec<Router>,
    next_origin: u64,
    runs: Vec<Run>,
    /// Amounts spent at the side processes, by origin and budget.
    spent: BTreeMap<(Origin, BudgetId), Tokens>,
    /// Origins that the side processes refuse.
    fenced: BTreeSet<Origin>,
    topups: BTreeMap<(BudgetId, u8), u16>,
    next_topup: u64,
}

fn budget(i: usize) -> BudgetId {
    BudgetId::new("acme", &format!("b{i}"))
}

impl World {
    pub fn new(variant: Variant) -> Self {
        let world = Self {
            variant,
            store: FaultyStore::new(),
            operator: Journal::new(Origin(1_000_000), Shards::new(2)),
            routers: (0..ROUTERS as u64).map(Router::new).collect(),
            next_origin: ROUTERS as u64,
            runs: Vec::new(),
            spent: BTreeMap::new(),
            fenced: BTreeSet::new(),
            topups: BTreeMap::new(),
            next_topup: 0,
        };
        for i in 0..BUDGETS {
            let ledger = Ledger::new(&world.store, &world.operator);
            ledger.ensure_budget(&budget(i)).unwrap();
        }
        world
    }

    pub fn apply(&mut self, step: &Step) {
        match step {
            Step::Topup {
                budget: b,
                id,
                amount,
                fault,
            } => self.topup(*b, *id, *amount, *fault),
            Step::RequestGrant {
                router,
                budget: b,
                need,
                faults,
            } => {
                self.store.plan_faults(faults.iter().copied());
                let request = GrantRequest {
                    budget: budget(*b),
                    need: Tokens(u64::from(*need)),
                    held: self.routers[*router].wallet.held(&budget(*b)),
                    usage_per_second: Tokens(100),
                };
                self.exchange(*router, vec![request]);
            }
            Step::Dispatch {
                router,
                budget: b,
                amount,
            } => self.dispatch(*router, *b, *amount),
            Step::EndRun { run, actual } => self.end_run(*run, *actual),
            Step::SendReports { router, faults } => {
                self.store.plan_faults(faults.iter().copied());
                self.exchange(*router, Vec::new());
            }
            Step::ReturnTokens {
                router,
                budget: b,
                amount,
            } => {
                let amount = Tokens(u64::from(*amount));
                self.routers[*router]
                    .wallet
                    .return_tokens(&budget(*b), amount);
            }
            Step::Transfer {
                receiver,
                sender,
                budget: b,
                amount,
                repeats,
                is_lost,
            } => {
                self.transfer(*receiver, *sender, *b, *amount, *repeats, *is_lost);
            }
            Step::Suspect {
                router,
                is_dead,
                has_proof,
            } => {
                self.routers[*router].is_dead |= *is_dead;
                self.suspect(*router, *has_proof);
            }
            Step::Replace { router } => self.replace(*router),
        }
        self.store.plan_faults([]);
    }

    fn topup(&mut self, b: usize, id: u8, amount: u16, fault: SwapFault) {
        let amount = *self.topups.entry((budget(b), id)).or_insert(amount);
        self.store.plan_faults([fault]);
        // An operator repeats the top-up until it gets a response.
        for _ in 0..3 {
            self.next_topup += 1;
            let id = match self.variant {
                Variant::TopupWithoutId => format!("t{}", self.next_topup),
                _ => format!("t{id}"),
            };
            let ledger = Ledger::new(&self.store, &self.operator);
            let amount = Tokens(u64::from(amount));
            if ledger.topup(&budget(b), &TopupId(id), amount).is_ok() {
                return;
            }
        }
    }

    fn exchange(&mut self, router: usize, requests: Vec<GrantRequest>) {
        let router = &mut self.routers[router];
        if router.is_dead {
            return;
        }
        let reports = router.wallet.drain_reports();
        let ledger = Ledger::new(&self.store, &router.journal);
        let outcome: ExchangeOutcome = ledger.exchange(requests, reports.clone());
        for lot in outcome.lots {
            router.wallet.credit(lot);
        }
        match self.variant {
            Variant::LostReportIsRepeated if outcome.error.is_some() => {
                router.wallet.restore_reports(reports);
            }
            _ => router.wallet.restore_reports(outcome.unapplied),
        }
    }

    fn dispatch(&mut self, router: usize, b: usize, amount: u16) {
        let router = &mut self.routers[router];
        if router.is_dead {
            return;
        }
        let amount = Tokens(u64::from(amount));
        let Ok(reservation) = router.wallet.reserve(&budget(b), amount, Millis(0)) else {
            return;
        };
        let payment = reservation.payment().clone();
        // A side process refuses work paid by a fenced origin.
        if let Some(origin) = self.fenced.iter().find(|o| payment.includes_origin(**o)) {
            router.wallet.release(reservation);
            router.wallet.fence_origin(*origin);
            return;
        }
        self.runs.push(Run {
            router: router.wallet.origin(),
            reservation: Some(reservation),
            payment,
        });
    }

    fn end_run(&mut self, run: usize, actual: u16) {
        if self.runs.is_empty() {
            return;
        }
        let index = run % self.runs.len();
        let mut run = self.runs.swap_remove(index);
        let actual = Tokens(u64::from(actual));
        for part in run.payment.split_charge(actual) {
            let key = (part.origin, run.payment.budget.clone());
            *self.spent.entry(key).or_default() += part.amount;
        }
        let reservation = run.reservation.take().unwrap();
        let owner = self
            .routers
            .iter_mut()
            .find(|r| r.wallet.origin() == run.router);
        let Some(owner) = owner.filter(|r| !r.is_dead) else {
            return;
        };
        let settled = owner.wallet.settle(reservation, actual);
        if self.variant == Variant::SettleTwice {
            let origin = run.payment.parts.first().map(|p: &Part| p.origin);
            owner.wallet.credit(Lot {
                budget: run.payment.budget,
                origin: origin.unwrap_or(Origin(0)),
                amount: settled.refunded,
            });
        }
    }

    fn transfer(
        &mut self,
        receiver: usize,
        sender: usize,
        b: usize,
        amount: u16,
        repeats: u8,
        lost: bool,
    ) {
        let both_live = !self.routers[receiver].is_dead && !self.routers[sender].is_dead;
        if receiver == sender || !both_live {
            return;
        }
        let request = self.routers[receiver]
            .wallet
            .request_transfer(&budget(b), Tokens(u64::from(amount)));
        let mut responses: Vec<Transfer> = Vec::new();
        for _ in 0..=repeats {
            responses.push(self.routers[sender].wallet.send_transfer(&request));
        }
        if self.variant == Variant::SenderIsNotDebited {
            for lot in responses[0].lots.clone() {
                self.routers[sender].wallet.credit(lot);
            }
        }
        if lost {
            self.routers[receiver].wallet.cancel_transfer(request.id);
        }
        for response in responses {
            if self.variant == Variant::ResponseAcceptedTwice {
                for lot in response.lots {
                    self.routers[receiver].wallet.credit(lot);
                }
                continue;
            }
            self.routers[receiver].wallet.receive_transfer(response);
        }
    }

    fn suspect(&mut self, router: usize, has_proof: bool) {
        let origin = self.routers[router].wallet.origin();
        let reclaims = self.variant == Variant::ReclaimWhenLeaseLapses;
        if !reclaims {
            self.fenced.insert(origin);
        }
        let is_running = self.runs.iter().any(|r| r.payment.includes_origin(origin));
        let waits = is_running && self.variant != Variant::RetireWithoutAllSideProcesses;
        if waits && !reclaims {
            return;
        }
        let of_origin = self.spent.iter().filter(|((o, _), _)| *o == origin);
        let spent = of_origin
            .map(|((_, b), amount)| (b.clone(), *amount))
            .collect();
        let proof = if has_proof || reclaims {
            SpendingProof::Complete(spent)
        } else {
            SpendingProof::Partial
        };
        let ledger = Ledger::new(&self.store, &self.operator);
        ledger.retire(origin, &proof).unwrap();
    }

    /// Replaces the router by a new process.
    fn replace(&mut self, router: usize) {
        self.next_origin += 1;
        self.routers[router] = Router::new(self.next_origin);
    }

    /// Returns a description of the first violated invariant.
    pub fn violation(&self) -> Option<String> {
        for i in 0..BUDGETS {
            let of_budget = self.spent.iter().filter(|((_, b), _)| *b == budget(i));
            let spent: Tokens = of_budget.map(|(_, amount)| *amount).sum();
            let prepaid = self.prepaid(&budget(i));
            if spent > prepaid {
                return Some(format!("overspend of {}: {spent} of {prepaid}", budget(i)));
            }
        }
        for entry in self.store.list("budgets/").unwrap() {
            let record: wisteriapass_coord::budget::Record =
                serde_json::from_str(&entry.value).unwrap();
            if !record.is_conserved() {
                return Some(format!("{} is not conserved", entry.key));
            }
        }
        self.created_tokens()
    }

    /// Returns the sum of the top-ups, each counted once.
    fn prepaid(&self, budget: &BudgetId) -> Tokens {
        let of_budget = self.topups.iter().filter(|((b, _), _)| b == budget);
        of_budget
            .map(|(_, amount)| Tokens(u64::from(*amount)))
            .sum()
    }

    /// Checks that the tokens in wallets, reserved, spent and free do not exceed the prepaid total.
    fn created_tokens(&self) -> Option<String> {
        let ledger = Ledger::new(&self.store, &self.operator);
        for totals in ledger.totals().unwrap() {
            let live = || self.routers.iter().filter(|r| !r.is_dead);
            let held: Tokens = live().map(|r| self.spendable(r, &totals.budget)).sum();
            let of_budget = self.spent.iter().filter(|((_, b), _)| *b == totals.budget);
            let spent: Tokens = of_budget.map(|(_, amount)| *amount).sum();
            let running = self
                .runs
                .iter()
                .filter(|r| r.payment.budget == totals.budget);
            let running: Tokens = running.map(|r| r.payment.total()).sum();
            let sum = totals.free + held + running + spent;
            if sum > totals.prepaid || totals.prepaid > self.prepaid(&totals.budget) {
                return Some(format!(
                    "{sum} of {} prepaid in {}",
                    totals.prepaid, totals.budget
                ));
            }
        }
        None
    }

    /// Returns the amount that a router could still spend at a side process.
    fn spendable(&self, router: &Router, budget: &BudgetId) -> Tokens {
        let mut copy = Wallet::new(Origin(u64::MAX));
        for lot in router.wallet.lots(budget) {
            copy.credit(lot);
        }
        for origin in &self.fenced {
            copy.fence_origin(*origin);
        }
        copy.held(budget)
    }
}
