//! Edits of the configuration by compare-and-swap.

mod conflict;

use error_stack::Report;
use wisteriapass_config::{Change, Document, Note};
use wisteriapass_coord::revision::{
    ConfigDocument, ConfigRevision, Edit, EditOutcome, read_current,
};
use wisteriapass_coord::store::Store;

use crate::op_id::new_op_id;
use crate::{Result, ToolError, history};

pub use conflict::Conflict;

/// Largest document, in bytes of JSON; the service holds values of up to a megabyte.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// Times that a small edit is made anew because another one came first.
///
/// Each failed try means that somebody else's edit took effect.
const MAX_ATTEMPTS: u32 = 8;

/// An edit that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Revision that the edit made, or that already held it.
    pub revision: u64,
    /// What it changed; empty if there was nothing to change or it had been applied before.
    pub changes: Vec<Change>,
    /// What in the new configuration is allowed and probably not meant.
    pub notes: Vec<Note>,
}

/// Returns the configuration in the service, an empty one of revision 0 if there is none.
///
/// # Errors
///
/// [`ToolError`] if the service gave no answer or holds something else.
pub fn current(store: &dyn Store) -> Result<Document> {
    let held = read_current(store).map_err(ToolError::from)?;
    parse(held.as_ref())
}

/// Replaces revision `from` by `document`, whose own revision and operation id are ignored.
///
/// Repeating it with the same `op` is safe: the edit takes effect once.
///
/// # Errors
///
/// [`ToolError::Conflict`] if another edit came first, with what it changed;
/// [`ToolError::OutcomeUnknown`] if the answer was lost.
pub fn apply(
    store: &dyn Store,
    document: &Document,
    from: u64,
    op: Option<&str>,
) -> Result<Applied> {
    check_applicable(document)?;
    let op = op.map_or_else(new_op_id, str::to_owned);
    let before = current(store)?;
    if before.revision == from {
        history::keep_document(store, &before);
    }
    match submit(store, document, from, &op)? {
        EditOutcome::Accepted(revision) => Ok(Applied {
            revision: revision.0,
            changes: changes_of(&before, document, revision),
            notes: document.notes(),
        }),
        EditOutcome::Conflict { current } => {
            let current = parse(current.as_ref())?;
            let conflict = Conflict::new(store, from, &current);
            Err(Report::new(ToolError::Conflict(conflict)))
        }
        EditOutcome::Unknown(e) => Err(Report::new(ToolError::OutcomeUnknown {
            cause: e.to_string(),
            retry_option: format!("--op {op}"),
        })),
    }
}

/// Makes a small edit on top of whatever is current; edits of others that come first are kept.
///
/// `change` returns whether it changed anything.
///
/// # Errors
///
/// [`ToolError`] of `change`, or if the service gave no answer.
pub fn modify(
    store: &dyn Store,
    op: Option<&str>,
    change: impl Fn(&mut Document) -> Result<bool>,
) -> Result<Applied> {
    let op = op.map_or_else(new_op_id, str::to_owned);
    let mut tries_left = MAX_ATTEMPTS;
    loop {
        let before = current(store)?;
        let mut after = before.clone();
        if !change(&mut after)? {
            return Ok(Applied {
                revision: before.revision,
                changes: Vec::new(),
                notes: before.notes(),
            });
        }
        let applied = apply(store, &after, before.revision, Some(&op));
        let is_conflict = matches!(&applied, Err(e) if is_conflict(e));
        tries_left -= 1;
        if !is_conflict || tries_left == 0 {
            return applied;
        }
    }
}

fn submit(store: &dyn Store, document: &Document, from: u64, op: &str) -> Result<EditOutcome> {
    let edit = Edit::new(ConfigRevision(from), op, &document.to_json()).map_err(ToolError::from)?;
    Ok(edit.submit(store).map_err(ToolError::from)?)
}

/// Returns the changes of an edit, none if it had been applied before this run.
fn changes_of(before: &Document, after: &Document, made: ConfigRevision) -> Vec<Change> {
    if ConfigRevision(before.revision).next() != made {
        return Vec::new();
    }
    before.changes_to(after)
}

/// Refuses a document that the service cannot hold or that would stop the whole fleet.
fn check_applicable(document: &Document) -> Result<()> {
    let inventory = &document.inventory;
    let listed = [
        ("[[router]]", inventory.router.is_empty()),
        ("[[target]]", inventory.target.is_empty()),
    ];
    if let Some((entry, _)) = listed.into_iter().find(|(_, is_empty)| *is_empty) {
        return Err(Report::new(ToolError::MissingEntries { entry }));
    }
    let bytes = document.to_json().len();
    if bytes > MAX_DOCUMENT_BYTES {
        return Err(Report::new(ToolError::TooLarge {
            bytes,
            max_bytes: MAX_DOCUMENT_BYTES,
        }));
    }
    Ok(())
}

fn is_conflict(report: &Report<ToolError>) -> bool {
    matches!(report.current_context(), ToolError::Conflict(_))
}

fn parse(held: Option<&ConfigDocument>) -> Result<Document> {
    let Some(held) = held else {
        return Ok(Document::default());
    };
    Ok(Document::from_json(held.text()).map_err(ToolError::from)?)
}
