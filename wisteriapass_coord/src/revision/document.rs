//! Configuration documents as they are stored and exchanged.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::revision::{ConfigRevision, Result, RevisionError};

/// Number of recent edits that a document lists, so that a writer whose response was lost finds its
/// own edit.
///
/// At 10,000 edits a day the list covers about four minutes, far longer than a writer keeps
/// retrying.
pub const RECENT_EDITS: usize = 32;

/// Entry of the list of recent edits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedEdit {
    /// Revision that the edit created.
    pub revision: ConfigRevision,
    /// Operation id of the edit.
    pub op: String,
}

/// Header fields of a document; inventory and rules are not parsed here.
#[derive(Deserialize)]
struct Header {
    revision: ConfigRevision,
    #[serde(default)]
    op: String,
    #[serde(default)]
    recent: Vec<AppliedEdit>,
}

/// Configuration document: its JSON text and its parsed header fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigDocument {
    revision: ConfigRevision,
    op: String,
    recent: Arc<[AppliedEdit]>,
    text: Arc<str>,
}

impl ConfigDocument {
    /// Parses the header fields of a document.
    ///
    /// # Errors
    ///
    /// [`RevisionError::Malformed`] if the text is not a configuration document.
    pub fn parse(text: &str) -> Result<Self> {
        let header: Header = serde_json::from_str(text).map_err(|e| RevisionError::Malformed {
            cause: e.to_string(),
        })?;
        Ok(Self {
            revision: header.revision,
            op: header.op,
            recent: header.recent.into(),
            text: text.into(),
        })
    }

    /// Returns the revision of this document.
    pub fn revision(&self) -> ConfigRevision {
        self.revision
    }

    /// Returns the whole JSON text.
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// Returns the operation id of the edit that created this document.
    pub fn op(&self) -> &str {
        &self.op
    }

    /// Returns the revision that the edit `op` created, if it is this document's or a recent edit.
    pub fn revision_of(&self, op: &str) -> Option<ConfigRevision> {
        if self.op == op {
            return Some(self.revision);
        }
        self.recent.iter().find(|e| e.op == op).map(|e| e.revision)
    }

    /// Returns the recent edits for the next document: the edit that created this one, then the
    /// latest others.
    pub(super) fn recent_edits(&self) -> Vec<AppliedEdit> {
        let own = AppliedEdit {
            revision: self.revision,
            op: self.op.clone(),
        };
        let others = self.recent.iter().take(RECENT_EDITS - 1).cloned();
        std::iter::once(own).chain(others).collect()
    }
}
