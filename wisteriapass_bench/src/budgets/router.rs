//! Wallet of one router, refilled in the same way as in the daemon.

use wisteriapass_coord::Millis;
use wisteriapass_coord::budget::{
    BudgetId, GrantPolicy, GrantRequest, Journal, Ledger, Origin, Reservation, Shards, Tokens,
    Wallet,
};

use super::scenario::BUDGETS;
use super::store::CountingStore;

/// Time after a refused grant before the router requests one again, in milliseconds, as in the
/// daemon.
const REFUSAL_BACKOFF_MS: u64 = 500;

/// State of a budget as of the last exchange with the ledger.
#[derive(Clone, Copy, Default)]
struct BudgetState {
    free: Tokens,
    refused_until_ms: u64,
}

/// Simulated router.
pub struct Router {
    /// Tokens that the router holds.
    pub wallet: Wallet,
    journal: Journal,
    policy: GrantPolicy,
    budget_states: [BudgetState; BUDGETS],
}

/// Returns the identifier of a budget.
pub fn budget_id(budget: usize) -> BudgetId {
    BudgetId::new("account", &budget.to_string())
}

impl Router {
    /// Creates a router without tokens.
    pub fn new(origin: u64) -> Self {
        Self {
            wallet: Wallet::new(Origin(origin)),
            journal: Journal::new(Origin(origin), Shards::default()),
            policy: GrantPolicy::new(),
            budget_states: [BudgetState::default(); BUDGETS],
        }
    }

    /// Reserves tokens from the wallet, requesting a grant if it holds too few.
    pub fn reserve(
        &mut self,
        store: &CountingStore,
        budget: usize,
        max_cost: Tokens,
        now_ms: u64,
    ) -> Option<Reservation> {
        let id = budget_id(budget);
        if let Ok(reservation) = self.wallet.reserve(&id, max_cost, Millis(now_ms)) {
            return Some(reservation);
        }
        let state = self.budget_states[budget];
        if now_ms < state.refused_until_ms && state.free < max_cost {
            return None;
        }
        let need = max_cost.saturating_sub(self.wallet.held(&id));
        let request = self.grant_request(budget, need, now_ms);
        self.exchange(store, vec![request], &[], now_ms, false);
        self.wallet.reserve(&id, max_cost, Millis(now_ms)).ok()
    }

    /// Runs one round as the daemon does: requests refills, returns surplus tokens, and reports
    /// spending if `should_report` is set.
    pub fn run_round(&mut self, store: &CountingStore, now_ms: u64, should_report: bool) {
        let mut requests = Vec::new();
        let mut returns = Vec::new();
        for budget in 0..BUDGETS {
            let id = budget_id(budget);
            let (held, free) = (self.wallet.held(&id), self.budget_states[budget].free);
            let usage = self.wallet.usage_per_second(&id, Millis(now_ms));
            if self.policy.should_refill(held, usage, free) {
                requests.push(self.grant_request(budget, Tokens(1), now_ms));
                continue;
            }
            let surplus = self.policy.surplus(held, usage, free);
            if !self.wallet.return_tokens(&id, surplus).is_zero() {
                returns.push(id);
            }
        }
        self.exchange(store, requests, &returns, now_ms, should_report);
    }

    fn grant_request(&self, budget: usize, need: Tokens, now_ms: u64) -> GrantRequest {
        let id = budget_id(budget);
        GrantRequest {
            need,
            held: self.wallet.held(&id),
            usage_per_second: self.wallet.usage_per_second(&id, Millis(now_ms)),
            budget: id,
        }
    }

    fn exchange(
        &mut self,
        store: &CountingStore,
        requests: Vec<GrantRequest>,
        returns: &[BudgetId],
        now_ms: u64,
        should_report: bool,
    ) {
        let shards = self.journal.shards();
        let budgets = requests.iter().map(|r| &r.budget).chain(returns);
        let written_shards: Vec<_> = budgets.map(|b| shards.shard_of(b)).collect();
        let is_written =
            |b: &BudgetId| should_report || written_shards.contains(&shards.shard_of(b));
        let reports = self.wallet.drain_reports_where(is_written);
        let exchange = Ledger::new(store, &self.journal).exchange(requests, reports);
        for lot in exchange.lots {
            self.wallet.credit(lot);
        }
        self.wallet.restore_reports(exchange.unapplied);
        for grant in exchange.grants {
            let budget = (0..BUDGETS).find(|b| budget_id(*b) == grant.budget);
            if let Some(budget) = budget {
                let backoff_ms = if grant.amount.is_zero() {
                    REFUSAL_BACKOFF_MS
                } else {
                    0
                };
                self.budget_states[budget] = BudgetState {
                    free: grant.free,
                    refused_until_ms: now_ms + backoff_ms,
                };
            }
        }
    }
}
