//! An edit that came second.

use std::fmt;

use serde::Serialize;
use wisteriapass_config::{Change, Document};
use wisteriapass_coord::store::Store;

use crate::history;

/// Why an edit was refused: another one came first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Conflict {
    /// Revision that the edit was made from.
    pub from: u64,
    /// Revision that is current.
    pub current: u64,
    /// What changed between the two, if the older one is still kept.
    pub meanwhile: Option<Vec<Change>>,
}

impl Conflict {
    /// Works out what changed since revision `from`.
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
                "revision {from} does not exist, {current} is current; export it and edit that"
            );
        }
        writeln!(f, "made from revision {from}, but {current} is current")?;
        match &self.meanwhile {
            Some(changes) => {
                writeln!(f, "changed meanwhile:")?;
                for change in changes {
                    writeln!(f, "  {change}")?;
                }
            }
            None => writeln!(f, "revision {from} is no longer kept to compare with")?,
        }
        write!(
            f,
            "take these over into your files and apply with --from {current}"
        )
    }
}
