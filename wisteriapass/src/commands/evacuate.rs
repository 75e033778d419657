//! `evacuate`: stops or resumes sending new work to the targets of a failure domain.

use error_stack::Report;
use wisteriapass_config::Document;

use crate::args::Evacuate;
use crate::commands::apply;
use crate::{Context, Exit, Result, ToolError, edit};

/// Suggestion if no failure domain has the given name.
const REMEDY: &str = "see the [[failure_domain]] entries of `export`";

/// Evacuates a failure domain, or ends its evacuation.
pub(super) fn evacuate(cx: &mut Context<'_>, opts: &Evacuate) -> Result<Exit> {
    let change = |document: &mut Document| set_evacuated(document, &opts.domain, !opts.back);
    let applied = edit::modify(cx.store()?, opts.op.as_deref(), change)?;
    apply::print_applied(cx, &applied)?;
    Ok(Exit::Success)
}

/// Edits the inventory and returns whether anything changed.
fn set_evacuated(document: &mut Document, name: &str, evacuated: bool) -> Result<bool> {
    if document.revision == 0 {
        return Err(Report::new(ToolError::NoConfiguration));
    }
    let mut domains = document.inventory.failure_domain.iter_mut();
    let Some(domain) = domains.find(|d| d.name == name) else {
        return Err(Report::new(ToolError::NotFound {
            kind: "failure domain",
            name: name.into(),
            remedy: REMEDY,
        }));
    };
    let was_evacuated = std::mem::replace(&mut domain.evacuated, evacuated);
    Ok(was_evacuated != evacuated)
}
