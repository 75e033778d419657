//! A router's memory of money.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::Millis;
use crate::budget::purse::Purse;
use crate::budget::{
    BudgetId, Lot, Origin, Part, Payment, PaymentId, Reservation, Settlement, Shortfall, Tokens,
    Transfer, TransferId, TransferRequest, UsageReport,
};

/// Transfers that a giver remembers, to answer a repeated ask with the same money.
///
/// A repeat that comes after so many others strands the first answer's money and doubles none.
const REMEMBERED_TRANSFERS: usize = 256;

/// Money held by one router, without I/O.
#[derive(Debug)]
pub struct Wallet {
    origin: Origin,
    purses: BTreeMap<BudgetId, Purse>,
    fenced: BTreeSet<Origin>,
    next_payment: u64,
    next_ask: u64,
    asked: BTreeSet<TransferId>,
    lent: VecDeque<Transfer>,
}

impl Wallet {
    /// Creates an empty wallet for a router's incarnation.
    pub fn new(origin: Origin) -> Self {
        Self {
            origin,
            purses: BTreeMap::new(),
            fenced: BTreeSet::new(),
            next_payment: 0,
            next_ask: 0,
            asked: BTreeSet::new(),
            lent: VecDeque::new(),
        }
    }

    /// Returns the incarnation that owns the wallet.
    pub fn origin(&self) -> Origin {
        self.origin
    }

    /// Returns the budgets it has met, in order.
    pub fn budgets(&self) -> impl Iterator<Item = &BudgetId> {
        self.purses.keys()
    }

    /// Returns the amount held and not reserved.
    pub fn held(&self, budget: &BudgetId) -> Tokens {
        self.purses.get(budget).map(Purse::held).unwrap_or_default()
    }

    /// Returns the money held and not reserved, by origin.
    pub fn lots(&self, budget: &BudgetId) -> Vec<Lot> {
        let purse = self.purses.get(budget);
        purse.map(|p| p.lots(budget)).unwrap_or_default()
    }

    /// Returns the amount reserved by work under way.
    pub fn reserved(&self, budget: &BudgetId) -> Tokens {
        self.purses.get(budget).map_or(Tokens::ZERO, |p| p.reserved)
    }

    /// Returns the tokens drawn a second, as measured at `now`.
    pub fn usage_per_second(&self, budget: &BudgetId, now: Millis) -> Tokens {
        let purse = self.purses.get(budget);
        purse.map_or(Tokens::ZERO, |p| p.meter.per_second(now))
    }

    /// Sets `amount` aside for a dispatch; it may span several origins.
    ///
    /// # Errors
    ///
    /// [`Shortfall`] if less is held; nothing is set aside then.
    pub fn reserve(
        &mut self,
        budget: &BudgetId,
        amount: Tokens,
        now: Millis,
    ) -> Result<Reservation, Shortfall> {
        let purse = self.purses.entry(budget.clone()).or_default();
        let held = purse.held();
        if held < amount {
            return Err(Shortfall {
                budget: budget.clone(),
                need: amount,
                held,
                reserved: purse.reserved,
            });
        }
        purse.meter.add(amount, now);
        purse.reserved += amount;
        self.next_payment += 1;
        let id = PaymentId {
            holder: self.origin,
            number: self.next_payment,
        };
        Ok(Reservation::new(Payment {
            id,
            budget: budget.clone(),
            parts: purse.draw(amount),
        }))
    }

    /// Settles a reservation with the amount billed, capped at the reservation; the rest comes
    /// back unless its origin was fenced.
    pub fn settle(&mut self, reservation: Reservation, actual: Tokens) -> Settlement {
        let payment = reservation.into_payment();
        let total = payment.total();
        let charged = payment.split_charge(actual);
        let purse = self.purses.entry(payment.budget.clone()).or_default();
        purse.reserved -= total;
        purse.meter.deduct(total.saturating_sub(actual));
        let mut refunded = Tokens::ZERO;
        for part in &payment.parts {
            if self.fenced.contains(&part.origin) {
                continue;
            }
            let spent = charged.iter().find(|c| c.origin == part.origin);
            let spent = spent.map_or(Tokens::ZERO, |c| c.amount);
            let rest = part.amount - spent;
            purse.tallies.entry(part.origin).or_default().spent += spent;
            purse.put(Part {
                origin: part.origin,
                amount: rest,
            });
            refunded += rest;
        }
        Settlement {
            charged,
            refunded,
            excess: actual.saturating_sub(total),
        }
    }

    /// Gives a reservation back whole: the work surely did not run and never will.
    pub fn release(&mut self, reservation: Reservation) -> Settlement {
        self.settle(reservation, Tokens::ZERO)
    }

    /// Gives a reservation up without a bill: its money stays out until the origin is retired.
    pub fn abandon(&mut self, reservation: Reservation) -> Tokens {
        let payment = reservation.into_payment();
        let total = payment.total();
        if let Some(purse) = self.purses.get_mut(&payment.budget) {
            purse.reserved -= total;
        }
        total
    }

    /// Puts money in; that of a fenced origin is dropped. Returns whether it was taken.
    pub fn credit(&mut self, lot: Lot) -> bool {
        if self.fenced.contains(&lot.origin) {
            return false;
        }
        let purse = self.purses.entry(lot.budget).or_default();
        purse.put(Part {
            origin: lot.origin,
            amount: lot.amount,
        });
        true
    }

    /// Takes out up to `amount`, with its origins.
    pub fn withdraw(&mut self, budget: &BudgetId, amount: Tokens) -> Vec<Lot> {
        let Some(purse) = self.purses.get_mut(budget) else {
            return Vec::new();
        };
        let parts = purse.draw(amount);
        parts.into_iter().map(|p| p.into_lot(budget)).collect()
    }

    /// Asks another router for money; only one answer to the id is accepted.
    pub fn request_transfer(&mut self, budget: &BudgetId, amount: Tokens) -> TransferRequest {
        self.next_ask += 1;
        let id = TransferId {
            taker: self.origin,
            number: self.next_ask,
        };
        self.asked.insert(id);
        TransferRequest {
            id,
            budget: budget.clone(),
            amount,
        }
    }

    /// Answers another router's ask; a repeat gets the same money again.
    pub fn send_transfer(&mut self, ask: &TransferRequest) -> Transfer {
        if let Some(transfer) = self.lent.iter().find(|t| t.id == ask.id) {
            return transfer.clone();
        }
        let transfer = Transfer {
            id: ask.id,
            lots: self.withdraw(&ask.budget, ask.amount),
        };
        if self.lent.len() == REMEMBERED_TRANSFERS {
            self.lent.pop_front();
        }
        self.lent.push_back(transfer.clone());
        transfer
    }

    /// Takes in the answer to an ask; returns the amount, zero for a repeat.
    pub fn receive_transfer(&mut self, transfer: Transfer) -> Tokens {
        if !self.asked.remove(&transfer.id) {
            return Tokens::ZERO;
        }
        let mut sum = Tokens::ZERO;
        for lot in transfer.lots {
            let amount = lot.amount;
            if self.credit(lot) {
                sum += amount;
            }
        }
        sum
    }

    /// Gives up an ask: an answer that comes later is dropped.
    pub fn cancel_transfer(&mut self, id: TransferId) {
        self.asked.remove(&id);
    }

    /// Voids all money of a fenced origin, also what comes in or is settled later; returns what
    /// was held.
    pub fn fence_origin(&mut self, origin: Origin) -> Tokens {
        self.fenced.insert(origin);
        self.purses.values_mut().map(|p| p.fence(origin)).sum()
    }

    /// Takes up to `amount` out, to be returned to the service with the next reports.
    pub fn return_tokens(&mut self, budget: &BudgetId, amount: Tokens) -> Tokens {
        let Some(purse) = self.purses.get_mut(budget) else {
            return Tokens::ZERO;
        };
        let parts = purse.draw(amount);
        for part in &parts {
            purse.tallies.entry(part.origin).or_default().returned += part.amount;
        }
        parts.iter().map(|p| p.amount).sum()
    }

    /// Takes out what the service has not been told yet.
    pub fn drain_reports(&mut self) -> Vec<UsageReport> {
        self.drain_reports_where(|_| true)
    }

    /// Takes out what the service has not been told yet of some budgets, such as those whose
    /// record is about to be written anyway.
    pub fn drain_reports_where(
        &mut self,
        is_wanted: impl Fn(&BudgetId) -> bool,
    ) -> Vec<UsageReport> {
        let mut reports = Vec::new();
        let wanted = self.purses.iter_mut().filter(|(b, _)| is_wanted(b));
        for (budget, purse) in wanted {
            for (origin, tally) in std::mem::take(&mut purse.tallies) {
                if tally.spent.is_zero() && tally.returned.is_zero() {
                    continue;
                }
                reports.push(UsageReport {
                    budget: budget.clone(),
                    origin,
                    spent: tally.spent,
                    returned: tally.returned,
                });
            }
        }
        reports
    }

    /// Puts reports back that surely did not reach the service.
    pub fn restore_reports(&mut self, reports: Vec<UsageReport>) {
        for report in reports {
            if self.fenced.contains(&report.origin) {
                continue;
            }
            let purse = self.purses.entry(report.budget).or_default();
            let tally = purse.tallies.entry(report.origin).or_default();
            tally.spent += report.spent;
            tally.returned += report.returned;
        }
    }
}
