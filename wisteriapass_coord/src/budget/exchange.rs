//! Outcome of an exchange with the budget records.

use crate::budget::{Grant, LedgerError, Lot, Tokens, UsageReport};
use crate::store::StoreError;

/// What an exchange with the records brought.
#[derive(Debug, Default)]
pub struct ExchangeOutcome {
    /// Money to credit to the wallet.
    pub lots: Vec<Lot>,
    /// What was granted, also where it was nothing.
    pub grants: Vec<Grant>,
    /// Reports that surely did not take effect, to be put back into the wallet.
    pub unapplied: Vec<UsageReport>,
    /// Amount reported for retired origins, which changed nothing.
    pub voided: Tokens,
    /// Why part of it failed.
    pub error: Option<LedgerError>,
}

impl ExchangeOutcome {
    /// Creates the outcome of an exchange that was not tried.
    pub fn not_attempted(unapplied: Vec<UsageReport>) -> Self {
        let cause = "this incarnation is not registered yet".into();
        Self {
            unapplied,
            error: Some(StoreError::Unreachable { cause }.into()),
            ..Self::default()
        }
    }
}
