//! `topup`: adds prepaid tokens to a budget.

use error_stack::Report;
use serde::Serialize;
use wisteriapass_config::Document;
use wisteriapass_coord::budget::{BudgetId, Topup};

use crate::args::TopUp;
use crate::{Context, Exit, Result, ToolError, budgets, edit};

/// Output of `topup`.
#[derive(Serialize)]
struct TopUpOutput<'a> {
    budget: &'a str,
    id: &'a str,
    amount: u64,
    applied_now: bool,
}

/// Adds prepaid tokens to a budget of the rules in force.
pub(super) fn topup(cx: &mut Context<'_>, opts: &TopUp) -> Result<Exit> {
    check_options(opts)?;
    let store = cx.store()?;
    let budget = find_budget(&edit::current(store)?, &opts.budget)?;
    let outcome = budgets::topup(store, &budget, &opts.id, opts.amount)?;
    let output = TopUpOutput {
        budget: &opts.budget,
        id: &opts.id,
        amount: opts.amount,
        applied_now: outcome == Topup::Applied,
    };
    let text = match outcome {
        Topup::Applied => format!("{}: {} tokens added", opts.budget, opts.amount),
        Topup::Repeated => format!("{}: id {} had already been applied", opts.budget, opts.id),
    };
    cx.out.print(&text, &output)?;
    Ok(Exit::Success)
}

fn check_options(opts: &TopUp) -> Result<()> {
    let cause = match (opts.amount, opts.id.is_empty()) {
        (0, _) => "the amount must be at least 1",
        (_, true) => "the id must not be empty",
        _ => return Ok(()),
    };
    Err(Report::new(ToolError::Usage {
        cause: cause.into(),
    }))
}

/// Finds a budget in the rules; tokens of a budget outside the rules could not be spent.
fn find_budget(document: &Document, name: &str) -> Result<BudgetId> {
    let found = name.split_once('/').and_then(|(account, budget)| {
        let mut budgets = document.rules.budget.iter();
        budgets.find(|b| b.account == account && b.name == budget)
    });
    let Some(budget) = found else {
        return Err(Report::new(ToolError::NotFound {
            kind: "budget",
            name: name.into(),
            remedy: "give ACCOUNT/BUDGET as in the rules in force",
        }));
    };
    Ok(BudgetId::new(&budget.account, &budget.name))
}
