//! Exchange of money with the store: takes grants, reports spent money, and returns idle money.

use std::sync::atomic::Ordering;

use wisteriapass_coord::budget::{
    BudgetId, ExchangeOutcome, GrantRequest, LedgerError, RecordError, Tokens,
};

use crate::prelude::*;
use crate::router::MoneyManager;
use crate::router::money::BudgetStatus;
use crate::shutdown::Shutdown;

/// Interval between two checks for refills and surplus, in milliseconds; a check costs no write.
const ROUND_INTERVAL_MS: u64 = 2_000;

/// Interval between two reports of spent money, in milliseconds.
///
/// Reports only inform operators and free no money. At this interval, six routers and four records
/// cost less than two writes per second; larger fleets have more records and need a longer
/// interval.
const REPORT_INTERVAL_MS: u64 = 15_000;

/// Delay of a round that requests have asked for, in milliseconds, so that they share one write.
const BATCH_DELAY_MS: u64 = 10;

/// Time for which a refused need is not sent to the store again, in milliseconds; without it, each
/// refused request would cost a write.
const REFUSAL_BACKOFF_MS: u64 = 500;

/// Maximum wait for the registration at the start, in milliseconds; while the store is unreachable
/// there is no registration, and requests have to be refused with that reason.
const MAX_REGISTRATION_WAIT_MS: u64 = 1_000;

/// Interval between two checks of the shutdown flag, in milliseconds.
const SHUTDOWN_POLL_MS: u64 = 100;

impl MoneyManager {
    /// Exchanges money with the store until the process is shut down.
    pub fn run_exchange_loop(&self, shutdown: &Shutdown) {
        self.wait_for_registration();
        let mut next_round = Instant::now();
        let mut next_report = Instant::now();
        while !shutdown.is_requested() {
            let is_requested = self
                .wake_rx
                .recv_timeout(Duration::from_millis(SHUTDOWN_POLL_MS))
                .is_ok();
            let is_due = Instant::now() >= next_round;
            if !is_requested && !is_due {
                continue;
            }
            if is_requested {
                std::thread::sleep(Duration::from_millis(BATCH_DELAY_MS));
            }
            let is_report_due = Instant::now() >= next_report;
            self.exchange(is_due, is_report_due);
            if is_report_due {
                next_report = Instant::now() + Duration::from_millis(REPORT_INTERVAL_MS);
            }
            if is_due {
                self.collect_open_bills();
                self.flush_bills();
                next_round = Instant::now() + Duration::from_millis(ROUND_INTERVAL_MS);
            }
        }
    }

    /// Waits until this incarnation is registered, so that the first requests are not refused.
    fn wait_for_registration(&self) {
        let deadline = Instant::now() + Duration::from_millis(MAX_REGISTRATION_WAIT_MS);
        while !self.is_registered.load(Ordering::Acquire) && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(BATCH_DELAY_MS));
        }
    }

    /// Returns all unreserved money when the process ends.
    pub fn return_all(&self) {
        let reports = {
            let mut state = self.state.lock();
            let budgets: Vec<BudgetId> = state.wallet.budgets().cloned().collect();
            for budget in &budgets {
                let amount = state.wallet.held(budget);
                state.wallet.return_tokens(budget, amount);
            }
            state.wallet.drain_reports()
        };
        self.flush_bills();
        let journal = self.journal();
        let outcome = self.ledger(&journal).close_writer(reports);
        match outcome.error {
            None => {
                self.unregister();
                log::info!(target: "money", "Returned all money.");
            }
            Some(e) => log::warn!(target: "money", "Cannot return money. cause={e:?}"),
        }
    }

    /// Runs one round: sends reports and grant requests, and adds the granted money to the wallet.
    fn exchange(&self, is_due: bool, is_report_due: bool) {
        let (requests, reports) = {
            let mut state = self.state.lock();
            state.rounds_started += 1;
            let requests = self.collect_grant_requests(&mut state, is_due);
            let returns = if is_due {
                self.return_surplus(&mut state)
            } else {
                Vec::new()
            };
            // Reports are sent with a request or a return to the same record, and alone only when
            // due.
            let shards = self.journal().shards();
            let budgets = requests.iter().map(|r| &r.budget).chain(&returns);
            let written: Vec<_> = budgets.map(|b| shards.shard_of(b)).collect();
            let is_written = |b: &BudgetId| is_report_due || written.contains(&shards.shard_of(b));
            let reports = state.wallet.drain_reports_where(is_written);
            (requests, reports)
        };
        let journal = self.journal();
        // Money granted without a registration could not be recovered if this router died.
        let outcome = if self.is_registered.load(Ordering::Acquire) {
            self.ledger(&journal).exchange(requests, reports)
        } else {
            ExchangeOutcome::not_attempted(reports)
        };
        self.apply_outcome(outcome);
    }

    fn collect_grant_requests(
        &self,
        state: &mut super::WalletState,
        is_due: bool,
    ) -> Vec<GrantRequest> {
        let now = self.now();
        let needs = std::mem::take(&mut state.pending_needs);
        let mut requests: Vec<GrantRequest> = needs
            .into_iter()
            .map(|(budget, need)| {
                let usage_per_second = state.wallet.usage_per_second(&budget, now);
                // The grant is added to what the wallet holds.
                let held = state.wallet.held(&budget);
                let need = need.saturating_sub(held);
                GrantRequest {
                    budget,
                    need,
                    held,
                    usage_per_second,
                }
            })
            .filter(|r| !r.need.is_zero())
            .collect();
        if is_due {
            let needed: Vec<BudgetId> = requests.iter().map(|r| r.budget.clone()).collect();
            let refills = state.wallet.budgets().filter(|b| !needed.contains(b));
            let refills = refills.filter_map(|budget| {
                let usage_per_second = state.wallet.usage_per_second(budget, now);
                let held = state.wallet.held(budget);
                // The known free amount may be missing or outdated; the record decides.
                let free = state.statuses.get(budget).map_or(Tokens::ZERO, |s| s.free);
                let is_refill_due = self
                    .grant_policy
                    .should_refill(held, usage_per_second, free);
                let request = GrantRequest {
                    budget: budget.clone(),
                    need: Tokens(1),
                    held,
                    usage_per_second,
                };
                is_refill_due.then_some(request)
            });
            requests.extend(refills);
        }
        requests
    }

    /// Takes surplus money out of the wallet for its return; returns the affected budgets.
    fn return_surplus(&self, state: &mut super::WalletState) -> Vec<BudgetId> {
        let mut returns = Vec::new();
        let now = self.now();
        let budgets: Vec<BudgetId> = state.wallet.budgets().cloned().collect();
        for budget in &budgets {
            let free = state.statuses.get(budget).map_or(Tokens::ZERO, |s| s.free);
            let usage_per_second = state.wallet.usage_per_second(budget, now);
            let surplus =
                self.grant_policy
                    .surplus(state.wallet.held(budget), usage_per_second, free);
            if !surplus.is_zero() {
                state.wallet.return_tokens(budget, surplus);
                returns.push(budget.clone());
            }
        }
        returns
    }

    fn apply_outcome(&self, outcome: ExchangeOutcome) {
        let mut state = self.state.lock();
        for lot in outcome.lots {
            state.wallet.credit(lot);
        }
        state.wallet.restore_reports(outcome.unapplied);
        let now = Instant::now();
        for grant in outcome.grants {
            let refused = grant.amount.is_zero();
            let backoff = if refused { REFUSAL_BACKOFF_MS } else { 0 };
            let status = BudgetStatus {
                free: grant.free,
                prepaid: grant.prepaid,
                refused_until: now + Duration::from_millis(backoff),
            };
            state.statuses.insert(grant.budget, status);
        }
        if !outcome.voided.is_zero() {
            log::warn!(
                target: "money",
                "Reports of retired money had no effect. tokens={}",
                outcome.voided
            );
        }
        state.store_answered = outcome.error.is_none();
        let is_fenced =
            |e: &LedgerError| matches!(e, LedgerError::Record(RecordError::Fenced { .. }));
        if outcome.error.as_ref().is_some_and(is_fenced) {
            drop(state);
            let _ = self.apply_fences();
            state = self.state.lock();
        }
        if let Some(e) = outcome.error {
            log::warn!(target: "money", "Cannot exchange money with the store. cause={e:?}");
        }
        state.rounds_finished = state.rounds_started;
        self.round_finished.notify_all();
    }
}
