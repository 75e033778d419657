//! A configuration document with the revision that it carries.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::revision::{ConfigRevision, Result, RevisionError};

/// Edits that a document remembers, so that a writer whose answer was lost finds its own.
///
/// At 10,000 edits a day they cover some four minutes, far longer than a writer keeps trying.
pub const RECENT_EDITS: usize = 32;

/// An edit that a document remembers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedEdit {
    /// Revision that the edit made.
    pub revision: ConfigRevision,
    /// Operation id of the edit.
    pub op: String,
}

/// The part of a document that is read here; inventory and rules pass through.
#[derive(Deserialize)]
struct Head {
    revision: ConfigRevision,
    #[serde(default)]
    op: String,
    #[serde(default)]
    recent: Vec<AppliedEdit>,
}

/// A configuration document: its JSON text and what its head says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigDocument {
    revision: ConfigRevision,
    op: String,
    recent: Arc<[AppliedEdit]>,
    text: Arc<str>,
}

impl ConfigDocument {
    /// Reads the head of a document.
    ///
    /// # Errors
    ///
    /// [`RevisionError::Malformed`] if the text is not such a document.
    pub fn parse(text: &str) -> Result<Self> {
        let head: Head = serde_json::from_str(text).map_err(|e| RevisionError::Malformed {
            cause: e.to_string(),
        })?;
        Ok(Self {
            revision: head.revision,
            op: head.op,
            recent: head.recent.into(),
            text: text.into(),
        })
    }

    /// Returns the revision.
    pub fn revision(&self) -> ConfigRevision {
        self.revision
    }

    /// Returns the whole text.
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// Returns the operation id of the edit that made this document.
    pub fn op(&self) -> &str {
        &self.op
    }

    /// Returns the revision that the edit `op` made, if it is among the remembered ones.
    pub fn revision_of(&self, op: &str) -> Option<ConfigRevision> {
        if self.op == op {
            return Some(self.revision);
        }
        self.recent.iter().find(|e| e.op == op).map(|e| e.revision)
    }

    /// Returns the edits that the next document remembers: this one, then the latest others.
    pub(super) fn recent_edits(&self) -> Vec<AppliedEdit> {
        let own = AppliedEdit {
            revision: self.revision,
            op: self.op.clone(),
        };
        let others = self.recent.iter().take(RECENT_EDITS - 1).cloned();
        std::iter::once(own).chain(others).collect()
    }
}
