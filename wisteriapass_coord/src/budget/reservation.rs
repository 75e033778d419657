//! Tokens reserved for a dispatch.

use crate::budget::{BudgetId, Parts, Payment, Tokens};

/// Tokens reserved for a dispatch. Settling consumes the reservation, so it happens at most once.
///
/// Dropping an unsettled reservation leaves its tokens outstanding until their origin is retired,
/// but never duplicates them.
#[must_use = "dropping a reservation leaves its tokens outstanding"]
#[derive(Debug, PartialEq, Eq)]
pub struct Reservation {
    payment: Payment,
}

impl Reservation {
    /// Creates the reservation of `payment`; called by the wallet only.
    pub(super) fn new(payment: Payment) -> Self {
        Self { payment }
    }

    /// Returns the payment, which the dispatch carries.
    pub fn payment(&self) -> &Payment {
        &self.payment
    }

    /// Returns the budget that is charged.
    pub fn budget(&self) -> &BudgetId {
        &self.payment.budget
    }

    /// Returns the amount reserved.
    pub fn amount(&self) -> Tokens {
        self.payment.total()
    }

    /// Consumes the reservation and returns its payment.
    pub(super) fn into_payment(self) -> Payment {
        self.payment
    }
}

/// Result of settling a reservation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settlement {
    /// Amounts charged, by origin.
    pub charged: Parts,
    /// Amount returned to the wallet.
    pub refunded: Tokens,
    /// Amount of the actual cost beyond the reservation; it is not charged.
    pub excess: Tokens,
}
