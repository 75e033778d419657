//! `show grants`: tokens of each budget that are granted to each router.

use crate::{Context, Exit, Result, Table, budgets};

/// Shows the grants that are not fully settled.
pub(super) fn show(cx: &mut Context<'_>) -> Result<Exit> {
    let grants = budgets::grants(cx.store()?)?;
    let mut table = Table::new(["BUDGET", "ORIGIN", "GRANTED", "RETURNED", "SPENT", "HELD"]);
    for grant in &grants {
        table.push_row([
            grant.budget.clone(),
            grant.origin.clone(),
            grant.granted.to_string(),
            grant.returned.to_string(),
            grant.spent.to_string(),
            grant.outstanding.to_string(),
        ]);
    }
    cx.out.print(&table, &grants)?;
    Ok(Exit::Success)
}
