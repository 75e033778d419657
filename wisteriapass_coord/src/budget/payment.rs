//! Payment for a dispatch.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::budget::{BudgetId, Lot, Origin, Tokens};

/// Amount of tokens that were granted to one origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Incarnation that the tokens were granted to.
    pub origin: Origin,
    /// Amount.
    pub amount: Tokens,
}

impl Part {
    /// Converts the part to a lot of `budget`.
    pub(super) fn into_lot(self, budget: &BudgetId) -> Lot {
        Lot {
            budget: budget.clone(),
            origin: self.origin,
            amount: self.amount,
        }
    }
}

/// Amounts by origin; there are rarely more than two.
pub type Parts = SmallVec<[Part; 2]>;

/// Id of a payment, which distinguishes its bill from that of a repeated dispatch.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{holder}:{number}")]
pub struct PaymentId {
    /// Incarnation of the router that made the reservation.
    pub holder: Origin,
    /// Sequence number of the reservation on that router.
    pub number: u64,
}

/// Maximum cost reserved for a dispatch, by origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payment {
    /// Id of the payment.
    pub id: PaymentId,
    /// Budget that is charged.
    pub budget: BudgetId,
    /// Reserved amounts, in the order in which they are charged.
    pub parts: Parts,
}

impl Payment {
    /// Returns the total amount reserved.
    pub fn total(&self) -> Tokens {
        self.parts.iter().map(|p| p.amount).sum()
    }

    /// Splits the charge for `actual`, capped at the total reserved, by origin.
    ///
    /// Router and side process both use this function, so that their counts by origin agree.
    pub fn split_charge(&self, actual: Tokens) -> Parts {
        let mut remaining = actual;
        let mut charged = Parts::new();
        for part in &self.parts {
            let amount = part.amount.min(remaining);
            remaining -= amount;
            if !amount.is_zero() {
                charged.push(Part { amount, ..*part });
            }
        }
        charged
    }

    /// Returns whether the payment includes tokens granted to `origin`.
    pub fn includes_origin(&self, origin: Origin) -> bool {
        self.parts.iter().any(|p| p.origin == origin)
    }
}
