//! `apply`: puts an inventory and rules into force.

use serde::Serialize;
use wisteriapass_config::{Change, Note};

use crate::args::Apply;
use crate::commands::files;
use crate::edit::{self, Applied};
use crate::{Context, Exit, Result};

/// Result of an edit.
#[derive(Serialize)]
pub(super) struct ApplyOutput<'a> {
    revision: u64,
    changes: &'a [Change],
    notes: &'a [Note],
}

/// Puts an inventory and rules into force.
pub(super) fn apply(cx: &mut Context<'_>, opts: &Apply) -> Result<Exit> {
    let document = files::read_files(&opts.inventory, &opts.rules)?;
    let applied = edit::apply(cx.store()?, &document, opts.from, opts.op.as_deref())?;
    print_applied(cx, &applied)?;
    Ok(Exit::Success)
}

/// Prints what an edit did.
pub(super) fn print_applied(cx: &mut Context<'_>, applied: &Applied) -> Result<()> {
    let edited = ApplyOutput {
        revision: applied.revision,
        changes: &applied.changes,
        notes: &applied.notes,
    };
    let lines = files::change_lines(&applied.changes);
    let notes = files::note_lines(&applied.notes);
    let text = format!("revision {}:\n{lines}{notes}", applied.revision);
    cx.out.print(&text, &edited)
}
