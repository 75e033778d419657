//! Outcome of exchanging tokens with the budget records.

use crate::budget::{Grant, LedgerError, Lot, Tokens, UsageReport};
use crate::store::StoreError;

/// Outcome of exchanging grant requests and usage reports with the records.
#[derive(Debug, Default)]
pub struct ExchangeOutcome {
    /// Tokens to credit to the wallet.
    pub lots: Vec<Lot>,
    /// Grants, including those of zero.
    pub grants: Vec<Grant>,
    /// Reports known not to have taken effect, to be restored to the wallet.
    pub unapplied: Vec<UsageReport>,
    /// Amount reported for retired origins, which was ignored.
    pub voided: Tokens,
    /// Error of the part that failed.
    pub error: Option<LedgerError>,
}

impl ExchangeOutcome {
    /// Creates the outcome of an exchange that was not attempted because the incarnation is not
    /// registered.
    pub fn not_attempted(unapplied: Vec<UsageReport>) -> Self {
        let cause = "this incarnation is not registered yet".into();
        Self {
            unapplied,
            error: Some(StoreError::Unreachable { cause }.into()),
            ..Self::default()
        }
    }
}
