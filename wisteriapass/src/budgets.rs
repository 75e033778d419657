//! Prepaid money: top-ups and where it is.

use error_stack::Report;
use rand::random;
use serde::Serialize;
use wisteriapass_coord::budget::{
    BudgetId, Journal, Ledger, LedgerError, Origin, Record, Shards, Tokens, Topup, TopupId, Totals,
};
use wisteriapass_coord::store::Store;

use crate::{Result, ToolError};

/// Prefix of the keys that hold budget records.
const RECORD_PREFIX: &str = "budgets/";

/// Times that a top-up is tried when answers are lost; its id makes repeating safe.
const TRIES: u32 = 4;

/// What one holder took of one budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct OriginGrants {
    /// Budget the money is of.
    pub budget: String,
    /// Incarnation of the router that took it, in hexadecimal.
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

/// Adds prepaid money to a budget, once for each id.
///
/// # Errors
///
/// [`ToolError::Ledger`] if the id was used with another amount, or [`ToolError::OutcomeUnknown`] if the
/// answers were lost.
pub fn topup(store: &dyn Store, budget: &BudgetId, id: &str, amount: u64) -> Result<Topup> {
    let journal = empty_journal();
    let ledger = Ledger::new(store, &journal);
    let topup_id = TopupId(id.into());
    let mut may_have_run = false;
    let mut tries_left = TRIES;
    loop {
        tries_left -= 1;
        let error = match ledger.topup(budget, &topup_id, Tokens(amount)) {
            Ok(done) => return Ok(done),
            Err(e) => e,
        };
        may_have_run |= !error.is_without_effect();
        if tries_left > 0 && matches!(error, LedgerError::Store(_)) {
            continue;
        }
        if !may_have_run {
            return Err(Report::new(ToolError::Ledger(error)));
        }
        return Err(Report::new(ToolError::OutcomeUnknown {
            cause: error.to_string(),
            retry_option: format!("the same --id {id}"),
        }));
    }
}

/// Returns where every budget's money is.
///
/// # Errors
///
/// [`ToolError::Ledger`] if the service gave no answer or a record cannot be read.
pub fn totals(store: &dyn Store) -> Result<Vec<Totals>> {
    let records = records(store)?;
    let budgets = records.iter().flat_map(Record::budgets);
    let mut totals: Vec<Totals> = budgets.map(|(id, entry)| Totals::new(id, entry)).collect();
    totals.sort_by(|a, b| a.budget.cmp(&b.budget));
    Ok(totals)
}

/// Returns what each router holds of each budget.
///
/// # Errors
///
/// [`ToolError::Ledger`] if the service gave no answer or a record cannot be read.
pub fn grants(store: &dyn Store) -> Result<Vec<OriginGrants>> {
    let mut grants = Vec::new();
    for record in records(store)? {
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

/// Reads all budget records in one call.
fn records(store: &dyn Store) -> Result<Vec<Record>> {
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

/// Returns the memory of a writer that only tops up; it never holds money.
fn empty_journal() -> Journal {
    Journal::new(Origin(random()), Shards::default())
}
