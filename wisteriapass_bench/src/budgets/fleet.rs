//! Escrow: routers hold tokens granted by a ledger and borrow from each other.

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

/// Interval between rounds of a router, in milliseconds, as in the daemon.
const ROUND_INTERVAL_MS: u64 = 2_000;

/// Interval between spending reports of a router, in milliseconds, as in the daemon.
const REPORT_INTERVAL_MS: u64 = 15_000;

/// Maximum number of peers asked to lend tokens for one request, as in the daemon.
const MAX_PEERS_ASKED: usize = 5;

/// Maximum time that a request waits for other reservations to settle, in milliseconds, as in the
/// daemon.
const MAX_SETTLE_WAIT_MS: u64 = 2_000;

/// Accepted request that has not finished yet.
struct RunningRequest {
    router: usize,
    reservation: Reservation,
    actual_cost: u64,
}

/// All routers and the key-value store.
pub struct EscrowFleet {
    scenario: Scenario,
    store: CountingStore,
    operator: Journal,
    routers: Vec<Router>,
    running: BTreeMap<(u64, u64), RunningRequest>,
    waiting: VecDeque<Request>,
    rng: StdRng,
    next_id: u64,
    /// Tokens spent from the grants of the router that dies, as known to the side processes.
    dead_router_spent: BTreeMap<BudgetId, Tokens>,
    is_dead_router_retired: bool,
}

impl EscrowFleet {
    /// Creates a fleet without tokens.
    pub fn new(scenario: Scenario, _: &Load, seed: u64) -> Self {
        Self {
            scenario,
            store: CountingStore::default(),
            operator: Journal::new(Origin(1_000), Shards::default()),
            routers: (0..ROUTERS as u64).map(|n| Router::new(n + 1)).collect(),
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
            rng: StdRng::seed_from_u64(seed),
            next_id: 0,
            dead_router_spent: BTreeMap::new(),
            is_dead_router_retired: false,
        }
    }

    /// Simulates the load.
    pub fn run(mut self, load: &Load) -> Metrics {
        let mut truth = GroundTruth::new();
        let mut next_topup = 0;
        let mut next_round_ms = 0;
        for req in &load.requests {
            while next_round_ms <= req.at_ms {
                self.finish_requests(next_round_ms, &mut truth);
                self.round(next_round_ms);
                next_round_ms += ROUND_INTERVAL_MS;
            }
            self.finish_requests(req.at_ms, &mut truth);
            for topup in due_topups(load, &mut next_topup, req.at_ms) {
                truth.add_prepaid(topup.budget, topup.tokens);
                self.top_up(topup.budget, topup.tokens, next_topup, topup.at_ms);
            }
            if self.serve(req, req.at_ms) {
                truth.record_decision(req, true);
            } else {
                self.waiting.push_back(*req);
            }
        }
        self.finish_requests(DURATION_MS + MAX_SETTLE_WAIT_MS, &mut truth);
        self.metrics(truth)
    }

    fn top_up(&self, budget: usize, tokens: u64, next_topup: usize, at_ms: u64) {
        // The simulated outages do not affect the connection of the operator to the store.
        self.store.set_reachable(true);
        let id = TopupId(format!("{next_topup}-{budget}-{at_ms}"));
        let ledger = Ledger::new(&self.store, &self.operator);
        let applied = ledger.topup(&budget_id(budget), &id, Tokens(tokens));
        debug_assert!(applied.is_ok());
    }

    fn serve(&mut self, req: &Request, now_ms: u64) -> bool {
        let Some(reservation) = self.reserve(req, now_ms) else {
            return false;
        };
        self.next_id += 1;
        let running = RunningRequest {
            router: req.router,
            reservation,
            actual_cost: req.actual_cost,
        };
        self.running
            .insert((now_ms + req.duration_ms, self.next_id), running);
        true
    }

    fn reserve(&mut self, req: &Request, now_ms: u64) -> Option<Reservation> {
        let max_cost = Tokens(req.max_cost);
        self.set_store_reachability(req.router, now_ms);
        let router = &mut self.routers[req.router];
        let reserved = router.reserve(&self.store, req.budget, max_cost, now_ms);
        if reserved.is_some() {
            return reserved;
        }
        self.borrow(req, now_ms);
        let wallet = &mut self.routers[req.router].wallet;
        let now = wisteriapass_coord::Millis(now_ms);
        wallet.reserve(&budget_id(req.budget), max_cost, now).ok()
    }

    fn borrow(&mut self, req: &Request, now_ms: u64) {
        let id = budget_id(req.budget);
        let mut peers: Vec<usize> = (0..ROUTERS).filter(|p| *p != req.router).collect();
        peers.shuffle(&mut self.rng);
        for peer in peers.into_iter().take(MAX_PEERS_ASKED) {
            let can_reach = self.scenario.can_reach_router(req.router, peer, now_ms);
            if !can_reach || !self.scenario.is_alive(peer, now_ms) {
                continue;
            }
            let held = self.routers[req.router].wallet.held(&id);
            let missing = Tokens(req.max_cost).saturating_sub(held);
            if missing.is_zero() {
                return;
            }
            let request = self.routers[req.router]
                .wallet
                .request_transfer(&id, missing);
            let transfer = self.routers[peer].wallet.send_transfer(&request);
            self.routers[req.router].wallet.receive_transfer(transfer);
        }
    }

    /// Finishes requests that are due and retries the requests waiting at a router that got tokens
    /// back.
    fn finish_requests(&mut self, now_ms: u64, truth: &mut GroundTruth) {
        while let Some(entry) = self.running.first_entry() {
            if entry.key().0 > now_ms {
                break;
            }
            let ((ended_ms, _), run) = entry.remove_entry();
            let actual_cost = Tokens(run.actual_cost);
            let payment = run.reservation.payment();
            for part in payment.split_charge(actual_cost) {
                if part.origin == Origin(1) {
                    let spent = self.dead_router_spent.entry(payment.budget.clone());
                    *spent.or_default() += part.amount;
                }
            }
            if self.scenario.is_alive(run.router, ended_ms) {
                self.routers[run.router]
                    .wallet
                    .settle(run.reservation, actual_cost);
                self.retry_waiting(run.router, ended_ms, truth);
            }
        }
        let is_expired = |r: &Request| r.at_ms + MAX_SETTLE_WAIT_MS <= now_ms;
        while self.waiting.front().is_some_and(is_expired) {
            if let Some(req) = self.waiting.pop_front() {
                truth.record_decision(&req, false);
            }
        }
    }

    /// Retries the requests that wait at a router.
    fn retry_waiting(&mut self, router: usize, now_ms: u64, truth: &mut GroundTruth) {
        for req in std::mem::take(&mut self.waiting) {
            let is_due = req.router == router && now_ms <= req.at_ms + MAX_SETTLE_WAIT_MS;
            if is_due && self.serve(&req, now_ms) {
                truth.record_decision(&req, true);
            } else {
                self.waiting.push_back(req);
            }
        }
    }

    fn round(&mut self, now_ms: u64) {
        self.retire_dead_router(now_ms);
        for n in 0..ROUTERS {
            if !self.scenario.is_alive(n, now_ms) {
                continue;
            }
            self.set_store_reachability(n, now_ms);
            let should_report = now_ms % REPORT_INTERVAL_MS < ROUND_INTERVAL_MS;
            self.routers[n].run_round(&self.store, now_ms, should_report);
        }
    }

    /// Recovers the tokens of the dead router once its lease has expired, it is fenced and its
    /// requests have finished.
    fn retire_dead_router(&mut self, now_ms: u64) {
        let is_dead = !self.scenario.is_alive(0, now_ms);
        if !is_dead || self.is_dead_router_retired || now_ms < DISTURBANCE_START_MS + RECOVERY_MS {
            return;
        }
        self.is_dead_router_retired = true;
        for router in &mut self.routers {
            router.wallet.fence_origin(Origin(1));
        }
        self.store.set_reachable(true);
        let proof = SpendingProof::Complete(self.dead_router_spent.clone());
        let retired = Ledger::new(&self.store, &self.operator).retire(Origin(1), &proof);
        debug_assert!(retired.is_ok());
    }

    fn set_store_reachability(&self, router: usize, now_ms: u64) {
        let reachable = self.scenario.can_reach_store(router, now_ms);
        self.store.set_reachable(reachable);
    }

    fn metrics(self, truth: GroundTruth) -> Metrics {
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
