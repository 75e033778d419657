//! The keeper: takes grants, reports what was spent, and gives idle money back.

use std::sync::atomic::Ordering;

use wisteriapass_coord::budget::{BudgetId, Exchange, LedgerError, RecordError, Tokens, Want};

use crate::prelude::*;
use crate::router::Money;
use crate::router::money::Known;
use crate::stop::Stop;

/// Time between two reports to the service, in milliseconds.
///
/// Reports only inform operators and free nothing, so they need not be quick; refills are looked
/// for as often.
const REPORT_MS: u64 = 2_000;

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

impl Money {
    /// Exchanges money with the service until the process stops.
    pub fn keep(&self, stop: &Stop) {
        self.wait_for_registration();
        let mut report_at = Instant::now();
        while !stop.is_raised() {
            let asked = self
                .woken
                .recv_timeout(Duration::from_millis(LOOK_MS))
                .is_ok();
            let due = Instant::now() >= report_at;
            if !asked && !due {
                continue;
            }
            if asked {
                std::thread::sleep(Duration::from_millis(SHARE_MS));
            }
            self.exchange(due);
            if due {
                self.take_over_bills();
                self.flush_bills();
                report_at = Instant::now() + Duration::from_millis(REPORT_MS);
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
    pub fn leave(&self) {
        let reports = {
            let mut held = self.held.lock();
            let budgets: Vec<BudgetId> = held.wallet.budgets().cloned().collect();
            for budget in &budgets {
                let amount = held.wallet.held(budget);
                held.wallet.give_back(budget, amount);
            }
            held.wallet.drain_reports()
        };
        self.flush_bills();
        let journal = self.journal();
        let exchange = self.ledger(&journal).leave(reports);
        match exchange.failed {
            None => {
                self.unregister();
                log::info!(target: "money", "Everything returned.");
            }
            Some(e) => log::warn!(target: "money", "Cannot return money. cause={e:?}"),
        }
    }

    /// One round: reports, wants, and money that comes in.
    fn exchange(&self, due: bool) {
        let (wants, reports) = {
            let mut held = self.held.lock();
            held.begun += 1;
            let wants = self.wants(&mut held, due);
            if due {
                self.give_surplus_back(&mut held);
            }
            // What is spent rides along with a want, and is written by itself only when due.
            let reports = if due || !wants.is_empty() {
                held.wallet.drain_reports()
            } else {
                Vec::new()
            };
            (wants, reports)
        };
        let journal = self.journal();
        // Money taken without a registration could not be taken back from a dead router.
        let exchange = if self.registered.load(Ordering::Acquire) {
            self.ledger(&journal).exchange(wants, reports)
        } else {
            Exchange::without_effect(reports)
        };
        self.book(exchange);
    }

    fn wants(&self, held: &mut super::Held, due: bool) -> Vec<Want> {
        let now = self.now();
        let needs = std::mem::take(&mut held.needs);
        let mut wants: Vec<Want> = needs
            .into_iter()
            .map(|(budget, need)| {
                let draw_per_second = held.wallet.draw(&budget, now);
                // What is held already may not reach; the grant comes on top.
                let need = need.saturating_sub(held.wallet.held(&budget));
                Want {
                    budget,
                    need,
                    draw_per_second,
                }
            })
            .filter(|w| !w.need.is_zero())
            .collect();
        if due {
            let needed: Vec<BudgetId> = wants.iter().map(|w| w.budget.clone()).collect();
            let refills = held.wallet.budgets().filter(|b| !needed.contains(b));
            let refills = refills.filter_map(|budget| {
                let draw = held.wallet.draw(budget, now);
                let empty = held.known.get(budget).is_some_and(|k| k.free.is_zero());
                let short = self.size.should_refill(held.wallet.held(budget), draw);
                let want = Want {
                    budget: budget.clone(),
                    need: Tokens(1),
                    draw_per_second: draw,
                };
                (short && !empty).then_some(want)
            });
            wants.extend(refills);
        }
        wants
    }

    fn give_surplus_back(&self, held: &mut super::Held) {
        let now = self.now();
        let budgets: Vec<BudgetId> = held.wallet.budgets().cloned().collect();
        for budget in &budgets {
            let free = held.known.get(budget).map_or(Tokens::ZERO, |k| k.free);
            let draw = held.wallet.draw(budget, now);
            let surplus = self.size.surplus(held.wallet.held(budget), draw, free);
            if !surplus.is_zero() {
                held.wallet.give_back(budget, surplus);
            }
        }
    }

    fn book(&self, exchange: Exchange) {
        let mut held = self.held.lock();
        for lot in exchange.lots {
            held.wallet.credit(lot);
        }
        held.wallet.put_back(exchange.unsent);
        let now = Instant::now();
        for grant in exchange.grants {
            let refused = grant.amount.is_zero();
            let rest = if refused { REFUSED_MS } else { 0 };
            let known = Known {
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
        held.reached = exchange.failed.is_none();
        let fenced = |e: &LedgerError| matches!(e, LedgerError::Record(RecordError::Fenced { .. }));
        if exchange.failed.as_ref().is_some_and(fenced) {
            drop(held);
            let _ = self.learn_fences();
            held = self.held.lock();
        }
        if let Some(e) = exchange.failed {
            log::warn!(target: "money", "Cannot exchange money with the service. cause={e:?}");
        }
        held.ended = held.begun;
        self.round.notify_all();
    }
}
