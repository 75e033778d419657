//! Escrow: routers with grants, who borrow from each other.

use std::collections::{BTreeMap, VecDeque};

use rand::seq::SliceRandom;
use rand::{SeedableRng, rngs::StdRng};
use wisteriapass_coord::budget::{
    BudgetId, Journal, Ledger, Origin, Reservation, Shards, SpendingProof, Tokens, TopupId,
};

use super::Scenario;
use super::load::{Load, Request};
use super::report::{GroundTruth, Metrics, due_topups, per_second};
use super::router::{Router, budget_id};
use super::scenario::{DISTURBANCE_START_MS, DURATION_MS, RECOVERY_MS, ROUTERS};
use super::store::CountingStore;

/// Time between two rounds of a router, in milliseconds, as in the daemon.
const ROUND_MS: u64 = 2_000;

/// Time between two reports of a router, in milliseconds, as in the daemon.
const REPORT_MS: u64 = 15_000;

/// Routers asked for one request, as in the daemon.
const MOST_ASKED: usize = 5;

/// Longest wait for reservations to settle, in milliseconds, as in the daemon.
const SETTLE_MS: u64 = 2_000;

/// A request under way.
struct Running {
    router: usize,
    reservation: Reservation,
    actual: u64,
}

/// All routers and the service.
pub struct EscrowFleet {
    scenario: Scenario,
    store: CountingStore,
    operator: Journal,
    routers: Vec<Router>,
    running: BTreeMap<(u64, u64), Running>,
    waiting: VecDeque<Request>,
    rng: StdRng,
    next_run: u64,
    /// What the side processes know of the router that dies.
    spent_of_dead: BTreeMap<BudgetId, Tokens>,
    is_retired: bool,
}

impl EscrowFleet {
    /// Starts without money.
    pub fn new(scenario: Scenario, _: &Load, seed: u64) -> Self {
        Self {
            scenario,
            store: CountingStore::default(),
            operator: Journal::new(Origin(1_000), Shards::default()),
            routers: (0..ROUTERS as u64).map(|n| Router::new(n + 1)).collect(),
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
            rng: StdRng::seed_from_u64(seed),
            next_run: 0,
            spent_of_dead: BTreeMap::new(),
            is_retired: false,
        }
    }

    /// Plays the load.
    pub fn run(mut self, load: &Load) -> Metrics {
        let mut truth = GroundTruth::new();
        let mut place = 0;
        let mut round_ms = 0;
        for req in &load.requests {
            while round_ms <= req.at_ms {
                self.end_runs(round_ms, &mut truth);
                self.round(round_ms);
                round_ms += ROUND_MS;
            }
            self.end_runs(req.at_ms, &mut truth);
            for topup in due_topups(load, &mut place, req.at_ms) {
                truth.add_prepaid(topup.budget, topup.tokens);
                self.top_up(topup.budget, topup.tokens, place, topup.at_ms);
            }
            if self.serve(req, req.at_ms) {
                truth.record_decision(req, true);
            } else {
                self.waiting.push_back(*req);
            }
        }
        self.end_runs(DURATION_MS + SETTLE_MS, &mut truth);
        self.figures(truth)
    }

    fn top_up(&self, budget: usize, tokens: u64, place: usize, at_ms: u64) {
        // The operator's own way to the service is not part of the play.
        self.store.set_reachable(true);
        let id = TopupId(format!("{place}-{budget}-{at_ms}"));
        let ledger = Ledger::new(&self.store, &self.operator);
        let applied = ledger.topup(&budget_id(budget), &id, Tokens(tokens));
        debug_assert!(applied.is_ok());
    }

    fn serve(&mut self, req: &Request, now_ms: u64) -> bool {
        let Some(reservation) = self.reserve(req, now_ms) else {
            return false;
        };
        self.next_run += 1;
        let running = Running {
            router: req.router,
            reservation,
            actual: req.actual_cost,
        };
        self.running
            .insert((now_ms + req.duration_ms, self.next_run), running);
        true
    }

    fn reserve(&mut self, req: &Request, now_ms: u64) -> Option<Reservation> {
        let worst = Tokens(req.max_cost);
        self.reach(req.router, now_ms);
        let router = &mut self.routers[req.router];
        let reserved = router.reserve(&self.store, req.budget, worst, now_ms);
        if reserved.is_some() {
            return reserved;
        }
        self.borrow(req, now_ms);
        let wallet = &mut self.routers[req.router].wallet;
        let now = wisteriapass_coord::Millis(now_ms);
        wallet.reserve(&budget_id(req.budget), worst, now).ok()
    }

    fn borrow(&mut self, req: &Request, now_ms: u64) {
        let id = budget_id(req.budget);
        let mut peers: Vec<usize> = (0..ROUTERS).filter(|p| *p != req.router).collect();
        peers.shuffle(&mut self.rng);
        for peer in peers.into_iter().take(MOST_ASKED) {
            let reaches = self.scenario.can_reach_router(req.router, peer, now_ms);
            if !reaches || !self.scenario.is_alive(peer, now_ms) {
                continue;
            }
            let held = self.routers[req.router].wallet.held(&id);
            let missing = Tokens(req.max_cost).saturating_sub(held);
            if missing.is_zero() {
                return;
            }
            let ask = self.routers[req.router]
                .wallet
                .request_transfer(&id, missing);
            let transfer = self.routers[peer].wallet.send_transfer(&ask);
            self.routers[req.router].wallet.receive_transfer(transfer);
        }
    }

    /// Ends runs; what waits for money tries again at the router where some came back.
    fn end_runs(&mut self, now_ms: u64, truth: &mut GroundTruth) {
        while let Some(entry) = self.running.first_entry() {
            if entry.key().0 > now_ms {
                break;
            }
            let ((ended_ms, _), run) = entry.remove_entry();
            let actual = Tokens(run.actual);
            let payment = run.reservation.payment();
            for part in payment.split_charge(actual) {
                if part.origin == Origin(1) {
                    let spent = self.spent_of_dead.entry(payment.budget.clone());
                    *spent.or_default() += part.amount;
                }
            }
            if self.scenario.is_alive(run.router, ended_ms) {
                self.routers[run.router]
                    .wallet
                    .settle(run.reservation, actual);
                self.retry(run.router, ended_ms, truth);
            }
        }
        let is_over = |r: &Request| r.at_ms + SETTLE_MS <= now_ms;
        while self.waiting.front().is_some_and(is_over) {
            if let Some(req) = self.waiting.pop_front() {
                truth.record_decision(&req, false);
            }
        }
    }

    /// Tries the requests again that wait at a router.
    fn retry(&mut self, router: usize, now_ms: u64, truth: &mut GroundTruth) {
        for req in std::mem::take(&mut self.waiting) {
            let is_due = req.router == router && now_ms <= req.at_ms + SETTLE_MS;
            if is_due && self.serve(&req, now_ms) {
                truth.record_decision(&req, true);
            } else {
                self.waiting.push_back(req);
            }
        }
    }

    fn round(&mut self, now_ms: u64) {
        self.retire(now_ms);
        for n in 0..ROUTERS {
            if !self.scenario.is_alive(n, now_ms) {
                continue;
            }
            self.reach(n, now_ms);
            let reports = now_ms % REPORT_MS < ROUND_MS;
            self.routers[n].run_round(&self.store, now_ms, reports);
        }
    }

    /// Takes the dead router's money back once its lease, fence and runs are over.
    fn retire(&mut self, now_ms: u64) {
        let is_dead = !self.scenario.is_alive(0, now_ms);
        if !is_dead || self.is_retired || now_ms < DISTURBANCE_START_MS + RECOVERY_MS {
            return;
        }
        self.is_retired = true;
        for router in &mut self.routers {
            router.wallet.fence_origin(Origin(1));
        }
        self.store.set_reachable(true);
        let proof = SpendingProof::Complete(self.spent_of_dead.clone());
        let retired = Ledger::new(&self.store, &self.operator).retire(Origin(1), &proof);
        debug_assert!(retired.is_ok());
    }

    fn reach(&self, router: usize, now_ms: u64) {
        let reachable = self.scenario.can_reach_store(router, now_ms);
        self.store.set_reachable(reachable);
    }

    fn figures(self, truth: GroundTruth) -> Metrics {
        let (reads, writes) = (self.store.reads(), self.store.writes());
        self.store.set_reachable(true);
        let totals = Ledger::new(&self.store, &self.operator).totals();
        let totals = totals.unwrap_or_default();
        Metrics {
            stranded: totals.iter().map(|t| t.stranded.0).sum(),
            recovered: totals.iter().map(|t| t.recovered.0).sum(),
            reads_per_s: per_second(reads),
            writes_per_s: per_second(writes),
            ..truth.into_metrics()
        }
    }
}
