//! Edits of the configuration with compare-and-swap.

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

/// Maximum size of a document, in bytes of JSON.
///
/// The key-value service stores values of up to one megabyte.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// Maximum number of attempts to modify the current configuration.
///
/// Each conflict means that a concurrent edit took effect.
const MAX_ATTEMPTS: u32 = 8;

/// An edit that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Revision that the edit created, or that already contained it.
    pub revision: u64,
    /// Changes that the edit made; empty if there were none or it had been applied before.
    pub changes: Vec<Change>,
    /// Properties of the new configuration that are allowed but probably unintended.
    pub notes: Vec<Note>,
}

/// Returns the stored configuration, or an empty one of revision 0 if there is none.
///
/// # Errors
///
/// [`ToolError`] if the key-value service did not answer or the document is malformed.
pub fn current(store: &dyn Store) -> Result<Document> {
    let held = read_current(store).map_err(ToolError::from)?;
    parse(held.as_ref())
}

/// Replaces revision `from` with `document`, ignoring the revision and operation id in `document`.
///
/// Repeating the call with the same `op` is safe: the edit takes effect once.
///
/// # Errors
///
/// [`ToolError::Conflict`] if `from` is not the current revision, with the changes made since;
/// [`ToolError::OutcomeUnknown`] if the response was lost.
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

/// Modifies the current configuration; retries on the newer one after a conflict.
///
/// `change` returns whether it changed anything.
///
/// # Errors
///
/// [`ToolError`] if `change` fails, the key-value service does not answer, or every attempt hits a
/// conflict.
pub fn modify(
    store: &dyn Store,
    op: Option<&str>,
    change: impl Fn(&mut Document) -> Result<bool>,
) -> Result<Applied> {
    let op = op.map_or_else(new_op_id, str::to_owned);
    let mut attempts_left = MAX_ATTEMPTS;
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
        attempts_left -= 1;
        if !is_conflict || attempts_left == 0 {
            return applied;
        }
    }
}

fn submit(store: &dyn Store, document: &Document, from: u64, op: &str) -> Result<EditOutcome> {
    let edit = Edit::new(ConfigRevision(from), op, &document.to_json()).map_err(ToolError::from)?;
    Ok(edit.submit(store).map_err(ToolError::from)?)
}

/// Returns the changes of an edit, or none if it had been applied before this run.
fn changes_of(before: &Document, after: &Document, created: ConfigRevision) -> Vec<Change> {
    if ConfigRevision(before.revision).next() != created {
        return Vec::new();
    }
    before.changes_to(after)
}

/// Refuses a document that is too large to store or that has no router or no target.
fn check_applicable(document: &Document) -> Result<()> {
    let inventory = &document.inventory;
    let required = [
        ("[[router]]", inventory.router.is_empty()),
        ("[[target]]", inventory.target.is_empty()),
    ];
    if let Some((entry, _)) = required.into_iter().find(|(_, is_empty)| *is_empty) {
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
