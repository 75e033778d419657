//! Tokens held by a router.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::Millis;
use crate::budget::balance::Balance;
use crate::budget::{
    BudgetId, Lot, Origin, Part, Payment, PaymentId, Reservation, Settlement, Shortfall, Tokens,
    Transfer, TransferId, TransferRequest, UsageReport,
};

/// Number of sent transfers that are kept to respond to a repeated request with the same tokens.
///
/// A repeat that arrives after more transfers than this leaves the tokens of the first response
/// outstanding, but duplicates none.
const MAX_SENT_TRANSFERS: usize = 256;

/// Tokens held by one router, without I/O.
#[derive(Debug)]
pub struct Wallet {
    origin: Origin,
    balances: BTreeMap<BudgetId, Balance>,
    fenced: BTreeSet<Origin>,
    next_payment: u64,
    next_transfer: u64,
    open_requests: BTreeSet<TransferId>,
    sent_transfers: VecDeque<Transfer>,
}

impl Wallet {
    /// Creates an empty wallet for an incarnation of a router.
    pub fn new(origin: Origin) -> Self {
        Self {
            origin,
            balances: BTreeMap::new(),
            fenced: BTreeSet::new(),
            next_payment: 0,
            next_transfer: 0,
            open_requests: BTreeSet::new(),
            sent_transfers: VecDeque::new(),
        }
    }

    /// Returns the incarnation that owns the wallet.
    pub fn origin(&self) -> Origin {
        self.origin
    }

    /// Returns the budgets that the wallet has used, ordered by id.
    pub fn budgets(&self) -> impl Iterator<Item = &BudgetId> {
        self.balances.keys()
    }

    /// Returns the amount held and not reserved.
    pub fn held(&self, budget: &BudgetId) -> Tokens {
        self.balances
            .get(budget)
            .map(Balance::held)
            .unwrap_or_default()
    }

    /// Returns the lots held and not reserved, by origin.
    pub fn lots(&self, budget: &BudgetId) -> Vec<Lot> {
        let balance = self.balances.get(budget);
        balance.map(|b| b.lots(budget)).unwrap_or_default()
    }

    /// Returns the amount reserved for work in progress.
    pub fn reserved(&self, budget: &BudgetId) -> Tokens {
        self.balances
            .get(budget)
            .map_or(Tokens::ZERO, |b| b.reserved)
    }

    /// Returns the usage measured at `now`, in tokens per second.
    pub fn usage_per_second(&self, budget: &BudgetId, now: Millis) -> Tokens {
        let balance = self.balances.get(budget);
        balance.map_or(Tokens::ZERO, |b| b.meter.per_second(now))
    }

    /// Reserves `amount` for a dispatch; it may span several origins.
    ///
    /// # Errors
    ///
    /// [`Shortfall`] if less is held; nothing is reserved then.
    pub fn reserve(
        &mut self,
        budget: &BudgetId,
        amount: Tokens,
        now: Millis,
    ) -> Result<Reservation, Shortfall> {
        let balance = self.balances.entry(budget.clone()).or_default();
        let held = balance.held();
        if held < amount {
            return Err(Shortfall {
                budget: budget.clone(),
                need: amount,
                held,
                reserved: balance.reserved,
            });
        }
        balance.meter.add(amount, now);
        balance.reserved += amount;
        self.next_payment += 1;
        let id = PaymentId {
            holder: self.origin,
            number: self.next_payment,
        };
        Ok(Reservation::new(Payment {
            id,
            budget: budget.clone(),
            parts: balance.withdraw(amount),
        }))
    }

    /// Settles a reservation with the amount billed, capped at the reservation. The rest is
    /// refunded unless its origin is fenced.
    pub fn settle(&mut self, reservation: Reservation, actual: Tokens) -> Settlement {
        let payment = reservation.into_payment();
        let total = payment.total();
        let charged = payment.split_charge(actual);
        let balance = self.balances.entry(payment.budget.clone()).or_default();
        balance.reserved -= total;
        balance.meter.deduct(total.saturating_sub(actual));
        let mut refunded = Tokens::ZERO;
        for part in &payment.parts {
            if self.fenced.contains(&part.origin) {
                continue;
            }
            let spent = charged.iter().find(|c| c.origin == part.origin);
            let spent = spent.map_or(Tokens::ZERO, |c| c.amount);
            let rest = part.amount - spent;
            balance.unreported.entry(part.origin).or_default().spent += spent;
            balance.deposit(Part {
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

    /// Refunds a whole reservation; the work must not have run and must never run.
    pub fn release(&mut self, reservation: Reservation) -> Settlement {
        self.settle(reservation, Tokens::ZERO)
    }

    /// Drops a reservation without a bill: its tokens stay outstanding until their origin is
    /// retired. Returns the amount.
    pub fn abandon(&mut self, reservation: Reservation) -> Tokens {
        let payment = reservation.into_payment();
        let total = payment.total();
        if let Some(balance) = self.balances.get_mut(&payment.budget) {
            balance.reserved -= total;
        }
        total
    }

    /// Adds tokens unless their origin is fenced; returns whether they were added.
    pub fn credit(&mut self, lot: Lot) -> bool {
        if self.fenced.contains(&lot.origin) {
            return false;
        }
        let balance = self.balances.entry(lot.budget).or_default();
        balance.deposit(Part {
            origin: lot.origin,
            amount: lot.amount,
        });
        true
    }

    /// Removes and returns up to `amount`, with its origins.
    pub fn withdraw(&mut self, budget: &BudgetId, amount: Tokens) -> Vec<Lot> {
        let Some(balance) = self.balances.get_mut(budget) else {
            return Vec::new();
        };
        let parts = balance.withdraw(amount);
        parts.into_iter().map(|p| p.into_lot(budget)).collect()
    }

    /// Creates a request for tokens of another router; only one response to its id is accepted.
    pub fn request_transfer(&mut self, budget: &BudgetId, amount: Tokens) -> TransferRequest {
        self.next_transfer += 1;
        let id = TransferId {
            taker: self.origin,
            number: self.next_transfer,
        };
        self.open_requests.insert(id);
        TransferRequest {
            id,
            budget: budget.clone(),
            amount,
        }
    }

    /// Responds to the request of another router; a repeated request gets the same transfer.
    pub fn send_transfer(&mut self, request: &TransferRequest) -> Transfer {
        if let Some(transfer) = self.sent_transfers.iter().find(|t| t.id == request.id) {
            return transfer.clone();
        }
        let transfer = Transfer {
            id: request.id,
            lots: self.withdraw(&request.budget, request.amount),
        };
        if self.sent_transfers.len() == MAX_SENT_TRANSFERS {
            self.sent_transfers.pop_front();
        }
        self.sent_transfers.push_back(transfer.clone());
        transfer
    }

    /// Adds the tokens of a response; returns their amount, or zero for a repeat.
    pub fn receive_transfer(&mut self, transfer: Transfer) -> Tokens {
        if !self.open_requests.remove(&transfer.id) {
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

    /// Cancels a request: a later response is discarded.
    pub fn cancel_transfer(&mut self, id: TransferId) {
        self.open_requests.remove(&id);
    }

    /// Discards all tokens of a fenced origin, including those that are added or settled later;
    /// returns the amount that was held.
    pub fn fence_origin(&mut self, origin: Origin) -> Tokens {
        self.fenced.insert(origin);
        self.balances
            .values_mut()
            .map(|b| b.discard_origin(origin))
            .sum()
    }

    /// Removes up to `amount`, to be returned to the record with the next report; returns the
    /// amount removed.
    pub fn return_tokens(&mut self, budget: &BudgetId, amount: Tokens) -> Tokens {
        let Some(balance) = self.balances.get_mut(budget) else {
            return Tokens::ZERO;
        };
        let parts = balance.withdraw(amount);
        for part in &parts {
            balance.unreported.entry(part.origin).or_default().returned += part.amount;
        }
        parts.iter().map(|p| p.amount).sum()
    }

    /// Removes and returns all usage that has not been reported yet.
    pub fn drain_reports(&mut self) -> Vec<UsageReport> {
        self.drain_reports_where(|_| true)
    }

    /// Removes and returns the unreported usage of some budgets, such as those whose record is
    /// about to be written anyway.
    pub fn drain_reports_where(
        &mut self,
        is_selected: impl Fn(&BudgetId) -> bool,
    ) -> Vec<UsageReport> {
        let mut reports = Vec::new();
        let selected = self.balances.iter_mut().filter(|(b, _)| is_selected(b));
        for (budget, balance) in selected {
            for (origin, usage) in std::mem::take(&mut balance.unreported) {
                if usage.spent.is_zero() && usage.returned.is_zero() {
                    continue;
                }
                reports.push(UsageReport {
                    budget: budget.clone(),
                    origin,
                    spent: usage.spent,
                    returned: usage.returned,
                });
            }
        }
        reports
    }

    /// Restores reports that are known not to have taken effect.
    pub fn restore_reports(&mut self, reports: Vec<UsageReport>) {
        for report in reports {
            if self.fenced.contains(&report.origin) {
                continue;
            }
            let balance = self.balances.entry(report.budget).or_default();
            let usage = balance.unreported.entry(report.origin).or_default();
            usage.spent += report.spent;
            usage.returned += report.returned;
        }
    }
}
