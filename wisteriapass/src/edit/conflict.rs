//! Conflicts between concurrent edits.

use std::fmt;

use serde::Serialize;
use wisteriapass_config::{Change, Document};
use wisteriapass_coord::store::Store;

use crate::history;

/// An edit that was refused because it is based on a revision other than the current one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Conflict {
    /// Revision that the edit is based on.
    pub from: u64,
    /// Current revision.
    pub current: u64,
    /// Changes between the two, if the older one is still stored.
    pub meanwhile: Option<Vec<Change>>,
}

impl Conflict {
    /// Creates a conflict with the changes since revision `from`.
    pub(super) fn new(store: &dyn Store, from: u64, current: &Document) -> Self {
        let base = history::find_document(store, from);
        Self {
            from,
            current: current.revision,
            meanwhile: base.map(|b| b.changes_to(current)),
        }
    }
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { from, current, .. } = self;
        if current < from {
            return write!(
                f,
                "revision {from} does not exist; export revision {current} and edit that"
            );
        }
        writeln!(
            f,
            "the edit is based on revision {from}, but the current revision is {current}"
        )?;
        match &self.meanwhile {
            Some(changes) => {
                writeln!(f, "changes since then:")?;
                for change in changes {
                    writeln!(f, "  {change}")?;
                }
            }
            None => writeln!(f, "revision {from} is no longer stored for comparison")?,
        }
        write!(
            f,
            "merge the current revision into your files and apply with --from {current}"
        )
    }
}
