//! Money of this router: reserved before a dispatch, settled with the bill.

use crate::prelude::*;
use crate::run_wire::{Payment, PaymentPart, RunBill};

/// Money held by this router.
pub struct Money {
    origin: String,
}

impl Service for Money {
    const NAME: &'static str = "money";
}

impl Money {
    /// Creates the money of an incarnation.
    pub fn new(origin: impl Into<String>) -> Self {
        Self {
            origin: origin.into(),
        }
    }

    /// Reserves the worst case of a request.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if there is not enough.
    pub fn reserve(&self, budget: &str, amount: u64) -> Result<Payment, Refusal> {
        let part = PaymentPart {
            origin: self.origin.clone(),
            amount,
        };
        Ok(Payment {
            budget: budget.into(),
            parts: vec![part],
        })
    }

    /// Settles a reservation with the bill of the run.
    pub fn settle(&self, _payment: &Payment, _bill: &RunBill) {}

    /// Gives back a reservation whose request did not run and will not.
    pub fn release(&self, _payment: &Payment) {}
}
