//! `check` and `diff`: what files say, without changing anything.

use std::fs;

use serde::Serialize;
use wisteriapass_config::{Change, Document, Inventory, Note, Source};

use crate::args::ConfigFiles;
use crate::{Context, Exit, Result, ToolError, edit};

/// Result of `check`.
#[derive(Serialize)]
struct CheckOutput {
    accepted: bool,
    failure_domains: usize,
    routers: usize,
    targets: usize,
    accounts: usize,
    budgets: usize,
    classes: usize,
    notes: Vec<Note>,
}

/// Result of `diff`.
#[derive(Serialize)]
struct DiffOutput {
    from: u64,
    changes: Vec<Change>,
    notes: Vec<Note>,
}

/// Checks an inventory and rules.
pub(super) fn check(cx: &mut Context<'_>, opts: &ConfigFiles) -> Result<Exit> {
    let document = read_files(&opts.inventory, &opts.rules)?;
    let checked = CheckOutput::of(&document);
    let text = format!(
        "accepted: {} failure domains, {} routers, {} targets, {} accounts, {} budgets, {} classes{}",
        checked.failure_domains,
        checked.routers,
        checked.targets,
        checked.accounts,
        checked.budgets,
        checked.classes,
        note_lines(&checked.notes),
    );
    cx.out.print(&text, &checked)?;
    Ok(Exit::Success)
}

/// Compares an inventory and rules with the configuration in the service.
pub(super) fn diff(cx: &mut Context<'_>, opts: &ConfigFiles) -> Result<Exit> {
    let document = read_files(&opts.inventory, &opts.rules)?;
    let current = edit::current(cx.store()?)?;
    let differences = DiffOutput {
        from: current.revision,
        changes: current.changes_to(&document),
        notes: document.notes(),
    };
    let from = differences.from;
    let lines = change_lines(&differences.changes);
    let notes = note_lines(&differences.notes);
    let text = format!("against revision {from} (apply with --from {from}):\n{lines}{notes}");
    cx.out.print(&text, &differences)?;
    Ok(Exit::Success)
}

/// Reads and checks two files.
pub(super) fn read_files(inventory: &str, rules: &str) -> Result<Document> {
    let inventory_text = read_text(inventory)?;
    let rules_text = read_text(rules)?;
    let inventory = Source {
        file: inventory,
        text: &inventory_text,
    };
    let rules = Source {
        file: rules,
        text: &rules_text,
    };
    Ok(Document::from_sources(inventory, rules).map_err(ToolError::from)?)
}

/// Reads and checks an inventory file alone.
pub(super) fn read_inventory(file: &str) -> Result<Inventory> {
    let text = read_text(file)?;
    Ok(Inventory::from_toml(file, &text).map_err(ToolError::from)?)
}

/// Returns changes, one a line.
pub(super) fn change_lines(changes: &[Change]) -> String {
    if changes.is_empty() {
        return "  nothing changes".into();
    }
    let lines: Vec<String> = changes.iter().map(|c| format!("  {c}")).collect();
    lines.join("\n")
}

/// Returns notes, each on a line of its own after what stands before.
pub(super) fn note_lines(notes: &[Note]) -> String {
    notes.iter().map(|n| format!("\nnote: {n}")).collect()
}

fn read_text(file: &str) -> Result<String> {
    Ok(fs::read_to_string(file).map_err(|e| ToolError::file(file, &e))?)
}

impl CheckOutput {
    fn of(document: &Document) -> Self {
        Self {
            accepted: true,
            failure_domains: document.inventory.failure_domain.len(),
            routers: document.inventory.router.len(),
            targets: document.inventory.target.len(),
            accounts: document.rules.account.len(),
            budgets: document.rules.budget.len(),
            classes: document.rules.class.len(),
            notes: document.notes(),
        }
    }
}
