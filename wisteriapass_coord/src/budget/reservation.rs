//! Money set aside for one dispatch.

use crate::budget::{BudgetId, Parts, Payment, Tokens};

/// Money set aside for one dispatch; it is settled once, because settling consumes it.
///
/// Dropping it unsettled strands the money until its origin is retired, and never doubles it.
#[must_use = "a dropped reservation strands its money"]
#[derive(Debug, PartialEq, Eq)]
pub struct Reservation {
    payment: Payment,
}

impl Reservation {
    /// Sets `payment` aside; only the wallet does so.
    pub(super) fn new(payment: Payment) -> Self {
        Self { payment }
    }

    /// Returns what the dispatch names as its payment.
    pub fn payment(&self) -> &Payment {
        &self.payment
    }

    /// Returns the budget that pays.
    pub fn budget(&self) -> &BudgetId {
        &self.payment.budget
    }

    /// Returns the amount set aside.
    pub fn amount(&self) -> Tokens {
        self.payment.total()
    }

    /// Gives up the payment.
    pub(super) fn into_payment(self) -> Payment {
        self.payment
    }
}

/// How a reservation was settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settlement {
    /// What was charged, by origin.
    pub charged: Parts,
    /// What went back into the wallet.
    pub refunded: Tokens,
    /// What the real use exceeded the reservation by; it is charged to nobody.
    pub excess: Tokens,
}
