//! `show budgets`: totals of the prepaid budgets.

use std::collections::BTreeMap;

use wisteriapass_coord::budget::{BudgetEntry, BudgetId, Totals};

use crate::{Context, Exit, Result, Table, budgets, edit};

/// Shows the budgets of the rules in force, and others that have a record in the store.
pub(super) fn show(cx: &mut Context<'_>) -> Result<Exit> {
    let store = cx.store()?;
    let document = edit::current(store)?;
    let mut budgets = BTreeMap::new();
    for budget in &document.rules.budget {
        let id = BudgetId::new(&budget.account, &budget.name);
        let no_tokens = Totals::new(&id, &BudgetEntry::default());
        budgets.insert(id, no_tokens);
    }
    for totals in budgets::totals(store)? {
        budgets.insert(totals.budget.clone(), totals);
    }
    let rows: Vec<Totals> = budgets.into_values().collect();
    let mut table = Table::new([
        "BUDGET",
        "PREPAID",
        "FREE",
        "HELD",
        "SPENT",
        "STRANDED",
        "RECOVERED",
        "HOLDERS",
    ]);
    for row in &rows {
        table.push_row(cells(row));
    }
    cx.out.print(&table, &rows)?;
    Ok(Exit::Success)
}

fn cells(row: &Totals) -> [String; 8] {
    [
        row.budget.to_string(),
        row.prepaid.to_string(),
        row.free.to_string(),
        row.outstanding.to_string(),
        row.spent.to_string(),
        row.stranded.to_string(),
        row.recovered.to_string(),
        row.holders.to_string(),
    ]
}
