//! The keeper: takes grants, reports what was spent, and gives idle money back.

use std::sync::atomic::Ordering;

use wisteriapass_coord::budget::{
    BudgetId, ExchangeOutcome, GrantRequest, LedgerError, RecordError, Tokens,
};

use crate::prelude::*;
use crate::router::MoneyManager;
use crate::router::money::BudgetStatus;
use crate::shutdown::Shutdown;

/// Time between two looks for refills and surplus, in milliseconds; a look costs no write.
const ROUND_MS: u64 = 2_000;

/// Time between two reports of what was spent, in milliseconds.
///
/// Reports only inform operators and free nothing. Six routers and four records then cost less than
/// two writes a second; larger fleets have more records and want a longer time.
const REPORT_MS: u64 = 15_000;

/// Shortest time between two rounds that requests ask for, in milliseconds: they share one write.
const SHARE_MS: u64 = 10;

/// Time for which a refused need is not asked for again, in milliseconds; without it each refused
/// request costs a write.
const REFUSED_MS: u64 = 500;

/// Longest wait for the registration at the start, in milliseconds; without the service it never
/// comes, and callers are to be told so.
const REGISTRATION_MS: u64 = 1_000;

/// Time between two looks at whether the process stops, in milliseconds.
const LOOK_MS: u64 = 100;

impl MoneyManager {
    /// Exchanges money with the service until the process stops.
    pub fn run_exchange_loop(&self, stop: &Shutdown) {
        self.wait_for_registration();
        let mut round_at = Instant::now();
        let mut report_at = Instant::now();
        while !stop.is_requested() {
            let asked = self
                .woken
                .recv_timeout(Duration::from_millis(LOOK_MS))
                .is_ok();
            let due = Instant::now() >= round_at;
            if !asked && !due {
                continue;
            }
            if asked {
                std::thread::sleep(Duration::from_millis(SHARE_MS));
            }
            let reports = Instant::now() >= report_at;
            self.exchange(due, reports);
            if reports {
                report_at = Instant::now() + Duration::from_millis(REPORT_MS);
            }
            if due {
                self.collect_open_bills();
                self.flush_bills();
                round_at = Instant::now() + Duration::from_millis(ROUND_MS);
            }
        }
    }

    /// Waits until this incarnation is registered, so that first callers are not refused for it.
    fn wait_for_registration(&self) {
        let deadline = Instant::now() + Duration::from_millis(REGISTRATION_MS);
        while !self.registered.load(Ordering::Acquire) && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(SHARE_MS));
        }
    }

    /// Gives everything back that is not reserved, for good.
    pub fn return_all(&self) {
        let reports = {
            let mut held = self.held.lock();
            let budgets: Vec<BudgetId> = held.wallet.budgets().cloned().collect();
            for budget in &budgets {
                let amount = held.wallet.held(budget);
                held.wallet.return_tokens(budget, amount);
            }
            held.wallet.drain_reports()
        };
        self.flush_bills();
        let journal = self.journal();
        let exchange = self.ledger(&journal).close_writer(reports);
        match exchange.error {
            None => {
                self.unregister();
                log::info!(target: "money", "Everything returned.");
            }
            Some(e) => log::warn!(target: "money", "Cannot return money. cause={e:?}"),
        }
    }

    /// One round: reports, wants, and money that comes in.
    fn exchange(&self, due: bool, reports: bool) {
        let (wants, reports) = {
            let mut held = self.held.lock();
            held.rounds_started += 1;
            let wants = self.wants(&mut held, due);
            let returns = if due {
                self.give_surplus_back(&mut held)
            } else {
                Vec::new()
            };
            // What is spent rides along with a want, and is written by itself only when due.
            let shards = self.journal().shards();
            let budgets = wants.iter().map(|w| &w.budget).chain(&returns);
            let written: Vec<_> = budgets.map(|b| shards.shard_of(b)).collect();
            let is_written = |b: &BudgetId| reports || written.contains(&shards.shard_of(b));
            let reports = held.wallet.drain_reports_where(is_written);
            (wants, reports)
        };
        let journal = self.journal();
        // Money taken without a registration could not be taken back from a dead router.
        let exchange = if self.registered.load(Ordering::Acquire) {
            self.ledger(&journal).exchange(wants, reports)
        } else {
            ExchangeOutcome::not_attempted(reports)
        };
        self.book(exchange);
    }

    fn wants(&self, held: &mut super::WalletState, due: bool) -> Vec<GrantRequest> {
        let now = self.now();
        let needs = std::mem::take(&mut held.pending_needs);
        let mut wants: Vec<GrantRequest> = needs
            .into_iter()
            .map(|(budget, need)| {
                let draw_per_second = held.wallet.usage_per_second(&budget, now);
                // What is held already may not reach; the grant comes on top.
                let has = held.wallet.held(&budget);
                let need = need.saturating_sub(has);
                GrantRequest {
                    budget,
                    need,
                    held: has,
                    usage_per_second: draw_per_second,
                }
            })
            .filter(|w| !w.need.is_zero())
            .collect();
        if due {
            let needed: Vec<BudgetId> = wants.iter().map(|w| w.budget.clone()).collect();
            let refills = held.wallet.budgets().filter(|b| !needed.contains(b));
            let refills = refills.filter_map(|budget| {
                let draw = held.wallet.usage_per_second(budget, now);
                let has = held.wallet.held(budget);
                // What is free was never heard of, or a while ago; the record decides.
                let free = held.known.get(budget).map_or(Tokens::ZERO, |k| k.free);
                let short = self.size.should_refill(has, draw, free);
                let want = GrantRequest {
                    budget: budget.clone(),
                    need: Tokens(1),
                    held: has,
                    usage_per_second: draw,
                };
                short.then_some(want)
            });
            wants.extend(refills);
        }
        wants
    }

    /// Sets aside what is to be given back; returns of which budgets.
    fn give_surplus_back(&self, held: &mut super::WalletState) -> Vec<BudgetId> {
        let mut returns = Vec::new();
        let now = self.now();
        let budgets: Vec<BudgetId> = held.wallet.budgets().cloned().collect();
        for budget in &budgets {
            let free = held.known.get(budget).map_or(Tokens::ZERO, |k| k.free);
            let draw = held.wallet.usage_per_second(budget, now);
            let surplus = self.size.surplus(held.wallet.held(budget), draw, free);
            if !surplus.is_zero() {
                held.wallet.return_tokens(budget, surplus);
                returns.push(budget.clone());
            }
        }
        returns
    }

    fn book(&self, exchange: ExchangeOutcome) {
        let mut held = self.held.lock();
        for lot in exchange.lots {
            held.wallet.credit(lot);
        }
        held.wallet.restore_reports(exchange.unapplied);
        let now = Instant::now();
        for grant in exchange.grants {
            let refused = grant.amount.is_zero();
            let rest = if refused { REFUSED_MS } else { 0 };
            let known = BudgetStatus {
                free: grant.free,
                prepaid: grant.prepaid,
                refused_until: now + Duration::from_millis(rest),
            };
            held.known.insert(grant.budget, known);
        }
        if !exchange.voided.is_zero() {
            log::warn!(
                target: "money",
                "Reports of retired money changed nothing. tokens={}",
                exchange.voided
            );
        }
        held.store_answered = exchange.error.is_none();
        let fenced = |e: &LedgerError| matches!(e, LedgerError::Record(RecordError::Fenced { .. }));
        if exchange.error.as_ref().is_some_and(fenced) {
            drop(held);
            let _ = self.apply_fences();
            held = self.held.lock();
        }
        if let Some(e) = exchange.error {
            log::warn!(target: "money", "Cannot exchange money with the service. cause={e:?}");
        }
        held.rounds_finished = held.rounds_started;
        self.round.notify_all();
    }
}
