//! Summary of a budget for display.

use serde::{Deserialize, Serialize};

use crate::budget::{BudgetEntry, BudgetId, Tokens};

/// Totals of a budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// The budget.
    pub budget: BudgetId,
    /// Sum of the top-ups.
    pub prepaid: Tokens,
    /// Amount that is not granted to any origin.
    pub free: Tokens,
    /// Amount reported spent; it lags by the reporting interval of the routers.
    pub spent: Tokens,
    /// Amount that routers hold, have reserved or transferred, or have not reported yet.
    pub outstanding: Tokens,
    /// Amount held by dead routers that could not be proved unspent.
    pub stranded: Tokens,
    /// Amount recovered from dead routers.
    pub recovered: Tokens,
    /// Number of origins with outstanding tokens.
    pub holders: usize,
}

impl Totals {
    /// Computes the totals of a budget.
    pub fn new(budget: &BudgetId, entry: &BudgetEntry) -> Self {
        let outstanding = entry.origins.values().map(|o| o.outstanding());
        Self {
            budget: budget.clone(),
            prepaid: entry.prepaid,
            free: entry.free,
            spent: entry.spent(),
            outstanding: entry.outstanding(),
            stranded: entry.stranded,
            recovered: entry.recovered,
            holders: outstanding.filter(|o| !o.is_zero()).count(),
        }
    }
}
