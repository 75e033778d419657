//! A budget's money for display.

use serde::{Deserialize, Serialize};

use crate::budget::{BudgetEntry, BudgetId, Tokens};

/// Where a budget's money is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// The budget.
    pub budget: BudgetId,
    /// Sum of the top-ups.
    pub prepaid: Tokens,
    /// Amount nobody holds.
    pub free: Tokens,
    /// Amount reported spent; lags by the routers' reporting interval.
    pub spent: Tokens,
    /// Amount that routers hold, have under way or have not reported yet.
    pub outstanding: Tokens,
    /// Amount that dead routers held and that could not be proved unspent.
    pub stranded: Tokens,
    /// Amount that came back from dead routers.
    pub recovered: Tokens,
    /// Origins with money outstanding.
    pub holders: usize,
}

impl Totals {
    /// Sums up a budget.
    pub fn new(budget: &BudgetId, entry: &BudgetEntry) -> Self {
        let holds = entry.origins.values().map(|o| o.outstanding());
        Self {
            budget: budget.clone(),
            prepaid: entry.prepaid,
            free: entry.free,
            spent: entry.spent(),
            outstanding: entry.outstanding(),
            stranded: entry.stranded,
            recovered: entry.recovered,
            holders: holds.filter(|o| !o.is_zero()).count(),
        }
    }
}
