//! Top-ups and totals of prepaid budgets.

use error_stack::Report;
use rand::random;
use serde::Serialize;
use wisteriapass_coord::budget::{
    BudgetId, Journal, Ledger, LedgerError, Origin, Record, Shards, Tokens, Topup, TopupId, Totals,
};
use wisteriapass_coord::store::Store;

use crate::{Result, ToolError};

/// Key prefix of the budget records in the key-value service.
const RECORD_PREFIX: &str = "budgets/";

/// Maximum number of attempts at a top-up; its id makes repeating safe after a lost response.
const MAX_ATTEMPTS: u32 = 4;

/// Tokens of one budget that were granted to one origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct OriginGrants {
    /// Budget that the tokens belong to.
    pub budget: String,
    /// Incarnation of the router that took the tokens, in hexadecimal.
    pub origin: String,
    /// Amount granted, in tokens.
    pub granted: Tokens,
    /// Amount returned unspent, in tokens.
    pub returned: Tokens,
    /// Amount reported spent, in tokens.
    pub spent: Tokens,
    /// Amount that may still be spent or returned, in tokens.
    pub outstanding: Tokens,
}

/// Adds prepaid tokens to a budget, once per id.
///
/// # Errors
///
/// [`ToolError::Ledger`] if the top-up did not take effect, such as for an id that was used with
/// another amount; [`ToolError::OutcomeUnknown`] if it may have taken effect.
pub fn topup(store: &dyn Store, budget: &BudgetId, id: &str, amount: u64) -> Result<Topup> {
    let journal = empty_journal();
    let ledger = Ledger::new(store, &journal);
    let topup_id = TopupId(id.into());
    let mut may_have_taken_effect = false;
    let mut attempts_left = MAX_ATTEMPTS;
    loop {
        attempts_left -= 1;
        let error = match ledger.topup(budget, &topup_id, Tokens(amount)) {
            Ok(done) => return Ok(done),
            Err(e) => e,
        };
        may_have_taken_effect |= !error.is_without_effect();
        if attempts_left > 0 && matches!(error, LedgerError::Store(_)) {
            continue;
        }
        if !may_have_taken_effect {
            return Err(Report::new(ToolError::Ledger(error)));
        }
        return Err(Report::new(ToolError::OutcomeUnknown {
            cause: error.to_string(),
            retry_option: format!("the same --id {id}"),
        }));
    }
}

/// Returns the totals of every budget.
///
/// # Errors
///
/// [`ToolError::Store`] if the key-value service did not answer; [`ToolError::Ledger`] if a record
/// cannot be read.
pub fn totals(store: &dyn Store) -> Result<Vec<Totals>> {
    let records = read_records(store)?;
    let budgets = records.iter().flat_map(Record::budgets);
    let mut totals: Vec<Totals> = budgets.map(|(id, entry)| Totals::new(id, entry)).collect();
    totals.sort_by(|a, b| a.budget.cmp(&b.budget));
    Ok(totals)
}

/// Returns the grants of each budget to each router.
///
/// # Errors
///
/// [`ToolError::Store`] if the key-value service did not answer; [`ToolError::Ledger`] if a record
/// cannot be read.
pub fn grants(store: &dyn Store) -> Result<Vec<OriginGrants>> {
    let mut grants = Vec::new();
    for record in read_records(store)? {
        for (id, entry) in record.budgets() {
            grants.extend(entry.origins.iter().map(|(origin, held)| OriginGrants {
                budget: id.to_string(),
                origin: origin.to_string(),
                granted: held.granted,
                returned: held.returned,
                spent: held.spent,
                outstanding: held.outstanding(),
            }));
        }
    }
    grants.sort_by(|a, b| (&a.budget, &a.origin).cmp(&(&b.budget, &b.origin)));
    Ok(grants)
}

/// Reads all budget records with one call.
fn read_records(store: &dyn Store) -> Result<Vec<Record>> {
    let entries = store.list(RECORD_PREFIX).map_err(ToolError::from)?;
    let parsed = entries.into_iter().map(|entry| {
        serde_json::from_str(&entry.value).map_err(|e| {
            Report::new(ToolError::Ledger(LedgerError::Corrupt {
                key: entry.key,
                cause: e.to_string(),
            }))
        })
    });
    parsed.collect()
}

/// Returns the journal of a writer that only adds top-ups and never holds tokens.
fn empty_journal() -> Journal {
    Journal::new(Origin(random()), Shards::default())
}
