//! Money spent by the runs of a side process, by origin.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::budget::{BudgetId, Origin, Payment, Tokens};

/// A side process's answer when an origin is fenced.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceAck {
    /// Amounts that runs here spent from the origin, by budget; final once no run is in progress.
    pub spent: BTreeMap<BudgetId, Tokens>,
    /// Number of runs in progress that are paid from the origin.
    pub running: usize,
}

/// Money spent by the runs of one side process, by origin.
///
/// A fenced origin cannot pay for new runs. Once the last run it pays for has ended, its total here
/// is therefore final.
#[derive(Debug, Default)]
pub struct OriginUsage {
    spent: BTreeMap<Origin, BTreeMap<BudgetId, Tokens>>,
    fenced: BTreeSet<Origin>,
}

impl OriginUsage {
    /// Creates an empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Marks an origin as fenced.
    pub fn fence(&mut self, origin: Origin) {
        self.fenced.insert(origin);
    }

    /// Returns the first fenced origin of a payment.
    pub fn fenced_origin(&self, payment: &Payment) -> Option<Origin> {
        let origins = payment.parts.iter().map(|p| p.origin);
        origins.into_iter().find(|o| self.fenced.contains(o))
    }

    /// Adds the cost of a run, charged to the origins of its payment.
    pub fn charge(&mut self, payment: &Payment, amount: Tokens) {
        for part in payment.split_charge(amount) {
            let by_budget = self.spent.entry(part.origin).or_default();
            *by_budget.entry(payment.budget.clone()).or_default() += part.amount;
        }
    }

    /// Returns the amounts spent from an origin, by budget.
    pub fn spent_of(&self, origin: Origin) -> BTreeMap<BudgetId, Tokens> {
        self.spent.get(&origin).cloned().unwrap_or_default()
    }
}
