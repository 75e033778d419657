//! `check` and `diff`: validate and compare files without applying them.

use std::fs;

use serde::Serialize;
use wisteriapass_config::{Change, Document, Inventory, Note, Source};

use crate::args::ConfigFiles;
use crate::{Context, Exit, Result, ToolError, edit};

/// Output of `check`.
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

/// Output of `diff`.
#[derive(Serialize)]
struct DiffOutput {
    from: u64,
    changes: Vec<Change>,
    notes: Vec<Note>,
}

/// Validates an inventory and rules.
pub(super) fn check(cx: &mut Context<'_>, opts: &ConfigFiles) -> Result<Exit> {
    let document = read_files(&opts.inventory, &opts.rules)?;
    let output = CheckOutput::new(&document);
    let text = format!(
        "accepted: {} failure domains, {} routers, {} targets, {} accounts, {} budgets, {} classes{}",
        output.failure_domains,
        output.routers,
        output.targets,
        output.accounts,
        output.budgets,
        output.classes,
        note_lines(&output.notes),
    );
    cx.out.print(&text, &output)?;
    Ok(Exit::Success)
}

/// Compares an inventory and rules with the stored configuration.
pub(super) fn diff(cx: &mut Context<'_>, opts: &ConfigFiles) -> Result<Exit> {
    let document = read_files(&opts.inventory, &opts.rules)?;
    let current = edit::current(cx.store()?)?;
    let output = DiffOutput {
        from: current.revision,
        changes: current.changes_to(&document),
        notes: document.notes(),
    };
    let from = output.from;
    let lines = change_lines(&output.changes);
    let notes = note_lines(&output.notes);
    let text = format!("changes to revision {from} (apply with --from {from}):\n{lines}{notes}");
    cx.out.print(&text, &output)?;
    Ok(Exit::Success)
}

/// Reads and validates an inventory file and a rules file.
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

/// Reads and validates an inventory file.
pub(super) fn read_inventory(file: &str) -> Result<Inventory> {
    let text = read_text(file)?;
    Ok(Inventory::from_toml(file, &text).map_err(ToolError::from)?)
}

/// Formats changes, one per line.
pub(super) fn change_lines(changes: &[Change]) -> String {
    if changes.is_empty() {
        return "  no changes".into();
    }
    let lines: Vec<String> = changes.iter().map(|c| format!("  {c}")).collect();
    lines.join("\n")
}

/// Formats notes for appending to a text, each on its own line.
pub(super) fn note_lines(notes: &[Note]) -> String {
    notes.iter().map(|n| format!("\nnote: {n}")).collect()
}

fn read_text(file: &str) -> Result<String> {
    Ok(fs::read_to_string(file).map_err(|e| ToolError::file(file, &e))?)
}

impl CheckOutput {
    fn new(document: &Document) -> Self {
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
