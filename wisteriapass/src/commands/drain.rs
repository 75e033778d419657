//! `drain` and `undrain`: stop or resume sending new work to a target, or to all targets of a VM.

use error_stack::Report;
use wisteriapass_config::Document;

use crate::args::Drain;
use crate::commands::apply;
use crate::{Context, Exit, Result, ToolError, edit};

/// Suggestion if no target or VM has the given name.
const REMEDY: &str = "see `show targets`; to drain a router, stop it gracefully";

/// Sets whether the named targets are draining.
pub(super) fn drain(cx: &mut Context<'_>, opts: &Drain, draining: bool) -> Result<Exit> {
    let change = |document: &mut Document| set_draining(document, &opts.name, draining);
    let applied = edit::modify(cx.store()?, opts.op.as_deref(), change)?;
    apply::print_applied(cx, &applied)?;
    Ok(Exit::Success)
}

/// Edits the inventory and returns whether anything changed.
fn set_draining(document: &mut Document, name: &str, draining: bool) -> Result<bool> {
    if document.revision == 0 {
        return Err(Report::new(ToolError::NoConfiguration));
    }
    let targets = document.inventory.target.iter_mut();
    let mut matching = targets
        .filter(|t| t.name == name || t.vm == name)
        .peekable();
    if matching.peek().is_none() {
        return Err(Report::new(ToolError::NotFound {
            kind: "target or VM",
            name: name.into(),
            remedy: REMEDY,
        }));
    }
    let mut has_changed = false;
    for target in matching {
        has_changed |= target.draining != draining;
        target.draining = draining;
    }
    Ok(has_changed)
}
