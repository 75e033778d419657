//! Outcome of an exchange with the budget records.

use crate::budget::{Grant, LedgerError, Lot, Report, Tokens};
use crate::store::StoreError;

/// What an exchange with the records brought.
#[derive(Debug, Default)]
pub struct Exchange {
    /// Money to credit to the wallet.
    pub lots: Vec<Lot>,
    /// What was granted, also where it was nothing.
    pub grants: Vec<Grant>,
    /// Reports that surely did not take effect, to be put back into the wallet.
    pub unsent: Vec<Report>,
    /// Amount reported for retired origins, which changed nothing.
    pub voided: Tokens,
    /// Why part of it failed.
    pub failed: Option<LedgerError>,
}

impl Exchange {
    /// Creates the outcome of an exchange that was not tried.
    pub fn without_effect(unsent: Vec<Report>) -> Self {
        let cause = "this incarnation is not registered yet".into();
        Self {
            unsent,
            failed: Some(StoreError::Unreachable { cause }.into()),
            ..Self::default()
        }
    }
}
