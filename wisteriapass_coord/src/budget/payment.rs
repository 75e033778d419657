//! What a dispatch is paid with.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::budget::{BudgetId, Lot, Origin, Tokens};

/// An amount of one origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Incarnation that took it from the service.
    pub origin: Origin,
    /// Amount.
    pub amount: Tokens,
}

impl Part {
    /// Names the budget it belongs to.
    pub(super) fn into_lot(self, budget: &BudgetId) -> Lot {
        Lot {
            budget: budget.clone(),
            origin: self.origin,
            amount: self.amount,
        }
    }
}

/// Amounts by origin; rarely more than two.
pub type Parts = SmallVec<[Part; 2]>;

/// Identity of a payment, by which its bill is told from that of a repeat.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{holder}:{number}")]
pub struct PaymentId {
    /// Incarnation of the router that reserved it.
    pub holder: Origin,
    /// Running number there.
    pub number: u64,
}

/// The worst case reserved for a dispatch, by origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payment {
    /// Its identity.
    pub id: PaymentId,
    /// Budget that pays.
    pub budget: BudgetId,
    /// What was reserved, in the order in which it is charged.
    pub parts: Parts,
}

impl Payment {
    /// Returns the whole amount reserved.
    pub fn total(&self) -> Tokens {
        self.parts.iter().map(|p| p.amount).sum()
    }

    /// Returns what is charged to each origin for `actual`, capped at the whole amount.
    ///
    /// Router and side process both use this, so that their counts by origin agree.
    pub fn split_charge(&self, actual: Tokens) -> Parts {
        let mut left = actual;
        let mut charged = Parts::new();
        for part in &self.parts {
            let amount = part.amount.min(left);
            left -= amount;
            if !amount.is_zero() {
                charged.push(Part { amount, ..*part });
            }
        }
        charged
    }

    /// Returns whether any of it was taken by `origin`.
    pub fn includes_origin(&self, origin: Origin) -> bool {
        self.parts.iter().any(|p| p.origin == origin)
    }
}
