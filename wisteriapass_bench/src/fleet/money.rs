//! Prepaid money of a fleet, as an operator adds and sees it.

use wisteriapass_coord::budget::{
    BudgetId, Journal, Ledger, Origin, Shards, Tokens, Topup, TopupId, Totals,
};

use super::{BUDGET, Fleet, Result};

/// Writer that only tops up, and so never holds money.
const OPERATOR: Origin = Origin(0);

impl Fleet {
    /// Adds prepaid tokens to an account's budget, once for each id.
    ///
    /// # Errors
    ///
    /// [`super::FleetError::Ledger`] if the id was used with another amount.
    pub fn top_up(&self, account: &str, id: &str, amount: u64) -> Result<Topup> {
        let journal = Journal::new(OPERATOR, Shards::default());
        let ledger = Ledger::new(self.platform.store(), &journal);
        let budget = BudgetId::new(account, BUDGET);
        Ok(ledger.topup(&budget, &TopupId(id.into()), Tokens(amount))?)
    }

    /// Returns where every budget's money is.
    ///
    /// # Errors
    ///
    /// [`super::FleetError::Ledger`] if a record cannot be read.
    pub fn totals(&self) -> Result<Vec<Totals>> {
        let journal = Journal::new(OPERATOR, Shards::default());
        Ok(Ledger::new(self.platform.store(), &journal).totals()?)
    }
}
