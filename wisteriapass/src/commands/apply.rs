//! `apply`: replaces the configuration in force by an inventory and rules.

use serde::Serialize;
use wisteriapass_config::{Change, Note};

use crate::args::Apply;
use crate::commands::files;
use crate::edit::{self, Applied};
use crate::{Context, Exit, Result};

/// Output of `apply` and the other commands that edit the configuration.
#[derive(Serialize)]
pub(super) struct ApplyOutput<'a> {
    revision: u64,
    changes: &'a [Change],
    notes: &'a [Note],
}

/// Applies an inventory and rules.
pub(super) fn apply(cx: &mut Context<'_>, opts: &Apply) -> Result<Exit> {
    let document = files::read_files(&opts.inventory, &opts.rules)?;
    let applied = edit::apply(cx.store()?, &document, opts.from, opts.op.as_deref())?;
    print_applied(cx, &applied)?;
    Ok(Exit::Success)
}

/// Prints the result of an edit.
pub(super) fn print_applied(cx: &mut Context<'_>, applied: &Applied) -> Result<()> {
    let output = ApplyOutput {
        revision: applied.revision,
        changes: &applied.changes,
        notes: &applied.notes,
    };
    let lines = files::change_lines(&applied.changes);
    let notes = files::note_lines(&applied.notes);
    let text = format!("revision {}:\n{lines}{notes}", applied.revision);
    cx.out.print(&text, &output)
}
