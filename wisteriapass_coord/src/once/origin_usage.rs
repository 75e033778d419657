//! What a side process knows was spent, by origin.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::budget::{BudgetId, Origin, Payment, Tokens};

/// A side process's answer to a fence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceAck {
    /// What runs here spent of the origin, by budget; final once nothing is running.
    pub spent: BTreeMap<BudgetId, Tokens>,
    /// Runs that go on and are paid with it.
    pub running: usize,
}

/// Money spent by the runs of one side process.
///
/// A fenced origin pays for no new run, so that what is listed is all that was ever spent of it
/// here once its last run ended.
#[derive(Debug, Default)]
pub struct OriginUsage {
    spent: BTreeMap<Origin, BTreeMap<BudgetId, Tokens>>,
    fenced: BTreeSet<Origin>,
}

impl OriginUsage {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Refuses an origin from now on.
    pub fn fence(&mut self, origin: Origin) {
        self.fenced.insert(origin);
    }

    /// Returns the first fenced origin of a payment.
    pub fn fenced_origin(&self, payment: &Payment) -> Option<Origin> {
        let origins = payment.parts.iter().map(|p| p.origin);
        origins.into_iter().find(|o| self.fenced.contains(o))
    }

    /// Counts what a run cost.
    pub fn charge(&mut self, payment: &Payment, amount: Tokens) {
        for part in payment.split_charge(amount) {
            let of_origin = self.spent.entry(part.origin).or_default();
            *of_origin.entry(payment.budget.clone()).or_default() += part.amount;
        }
    }

    /// Returns what was spent of an origin.
    pub fn spent_of(&self, origin: Origin) -> BTreeMap<BudgetId, Tokens> {
        self.spent.get(&origin).cloned().unwrap_or_default()
    }
}
