//! One router's money, kept as the daemon keeps it.

use wisteriapass_coord::Millis;
use wisteriapass_coord::budget::{
    BudgetId, GrantPolicy, GrantRequest, Journal, Ledger, Origin, Reservation, Shards, Tokens,
    Wallet,
};

use super::scenario::BUDGETS;
use super::store::CountingStore;

/// Time for which a refused need is not asked for again, in milliseconds, as in the daemon.
const REFUSED_MS: u64 = 500;

/// What is known of a budget since the last exchange.
#[derive(Clone, Copy, Default)]
struct Known {
    free: Tokens,
    refused_until_ms: u64,
}

/// One router.
pub struct Router {
    /// Its wallet.
    pub wallet: Wallet,
    journal: Journal,
    size: GrantPolicy,
    known: [Known; BUDGETS],
}

/// Returns the name of a budget.
pub fn budget_id(budget: usize) -> BudgetId {
    BudgetId::new("account", &budget.to_string())
}

impl Router {
    /// Creates a router without money.
    pub fn new(origin: u64) -> Self {
        Self {
            wallet: Wallet::new(Origin(origin)),
            journal: Journal::new(Origin(origin), Shards::default()),
            size: GrantPolicy::new(),
            known: [Known::default(); BUDGETS],
        }
    }

    /// Reserves from what is held, or after a grant.
    pub fn reserve(
        &mut self,
        store: &CountingStore,
        budget: usize,
        worst: Tokens,
        now_ms: u64,
    ) -> Option<Reservation> {
        let id = budget_id(budget);
        if let Ok(reservation) = self.wallet.reserve(&id, worst, Millis(now_ms)) {
            return Some(reservation);
        }
        let known = self.known[budget];
        if now_ms < known.refused_until_ms && known.free < worst {
            return None;
        }
        let need = worst.saturating_sub(self.wallet.held(&id));
        let want = self.want(budget, need, now_ms);
        self.exchange(store, vec![want], &[], now_ms, false);
        self.wallet.reserve(&id, worst, Millis(now_ms)).ok()
    }

    /// The daemon's round: refills, surplus, and reports if they are due.
    pub fn run_round(&mut self, store: &CountingStore, now_ms: u64, reports: bool) {
        let mut wants = Vec::new();
        let mut returns = Vec::new();
        for budget in 0..BUDGETS {
            let id = budget_id(budget);
            let (held, free) = (self.wallet.held(&id), self.known[budget].free);
            let draw = self.wallet.usage_per_second(&id, Millis(now_ms));
            if self.size.should_refill(held, draw, free) {
                wants.push(self.want(budget, Tokens(1), now_ms));
                continue;
            }
            let surplus = self.size.surplus(held, draw, free);
            if !self.wallet.return_tokens(&id, surplus).is_zero() {
                returns.push(id);
            }
        }
        self.exchange(store, wants, &returns, now_ms, reports);
    }

    fn want(&self, budget: usize, need: Tokens, now_ms: u64) -> GrantRequest {
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
        wants: Vec<GrantRequest>,
        returns: &[BudgetId],
        now_ms: u64,
        reports: bool,
    ) {
        let shards = self.journal.shards();
        let budgets = wants.iter().map(|w| &w.budget).chain(returns);
        let written: Vec<_> = budgets.map(|b| shards.shard_of(b)).collect();
        let is_written = |b: &BudgetId| reports || written.contains(&shards.shard_of(b));
        let reports = self.wallet.drain_reports_where(is_written);
        let exchange = Ledger::new(store, &self.journal).exchange(wants, reports);
        for lot in exchange.lots {
            self.wallet.credit(lot);
        }
        self.wallet.restore_reports(exchange.unapplied);
        for grant in exchange.grants {
            let budget = (0..BUDGETS).find(|b| budget_id(*b) == grant.budget);
            if let Some(budget) = budget {
                let rest = if grant.amount.is_zero() {
                    REFUSED_MS
                } else {
                    0
                };
                self.known[budget] = Known {
                    free: grant.free,
                    refused_until_ms: now_ms + rest,
                };
            }
        }
    }
}
