//! Top-ups and totals of the prepaid budgets of a fleet.

use wisteriapass_coord::budget::{
    BudgetId, Journal, Ledger, Origin, Shards, Tokens, Topup, TopupId, Totals,
};

use super::{BUDGET, Fleet, Result};

/// Origin of a writer that only tops up, and therefore never holds tokens.
const OPERATOR: Origin = Origin(0);

impl Fleet {
    /// Adds prepaid tokens to the budget of an account, once per ID.
    ///
    /// # Errors
    ///
    /// [`super::FleetError::Ledger`] if the ID was used with another amount.
    pub fn top_up(&self, account: &str, id: &str, amount: u64) -> Result<Topup> {
        let journal = Journal::new(OPERATOR, Shards::default());
        let ledger = Ledger::new(self.platform.store(), &journal);
        let budget = BudgetId::new(account, BUDGET);
        Ok(ledger.topup(&budget, &TopupId(id.into()), Tokens(amount))?)
    }

    /// Returns the totals of all budgets.
    ///
    /// # Errors
    ///
    /// [`super::FleetError::Ledger`] if a record cannot be read.
    pub fn totals(&self) -> Result<Vec<Totals>> {
        let journal = Journal::new(OPERATOR, Shards::default());
        Ok(Ledger::new(self.platform.store(), &journal).totals()?)
    }
}
