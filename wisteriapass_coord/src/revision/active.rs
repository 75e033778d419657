//! The active configuration document of one process.

use crate::revision::{ConfigDocument, ConfigRevision, Result, RevisionError};

/// Outcome of [`ActiveConfig::adopt`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptOutcome {
    /// The document is active now.
    Applied,
    /// The document was active already.
    Unchanged,
    /// The document is older than the active one and was ignored.
    Outdated {
        /// Revision that remains active.
        active: ConfigRevision,
    },
}

/// What to do about a message that contains the sender's active revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncAction {
    /// The sender has a newer document: fetch it.
    Fetch,
    /// The sender has an older document: send it the active one.
    Offer,
    /// Both have the same document.
    UpToDate,
}

/// The active document of a process; its revision never decreases.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    document: Option<ConfigDocument>,
}

impl ActiveConfig {
    /// Creates a configuration without an active document.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the active document.
    pub fn document(&self) -> Option<&ConfigDocument> {
        self.document.as_ref()
    }

    /// Returns the active revision.
    pub fn revision(&self) -> ConfigRevision {
        self.document
            .as_ref()
            .map_or(ConfigRevision::NONE, ConfigDocument::revision)
    }

    /// Replaces the active document if `offered` has a higher revision.
    ///
    /// # Errors
    ///
    /// [`RevisionError::Diverged`] if `offered` is a different document with the active revision.
    pub fn adopt(&mut self, offered: ConfigDocument) -> Result<AdoptOutcome> {
        let Some(document) = &self.document else {
            self.document = Some(offered);
            return Ok(AdoptOutcome::Applied);
        };
        let active = document.revision();
        if offered.revision() < active {
            return Ok(AdoptOutcome::Outdated { active });
        }
        if offered.revision() > active {
            self.document = Some(offered);
            return Ok(AdoptOutcome::Applied);
        }
        if offered.op() != document.op() {
            return Err(RevisionError::Diverged { revision: active });
        }
        Ok(AdoptOutcome::Unchanged)
    }

    /// Returns what to do about a message from a sender whose active revision is `revision`.
    pub fn sync_action(&self, revision: ConfigRevision) -> SyncAction {
        match revision.cmp(&self.revision()) {
            std::cmp::Ordering::Greater => SyncAction::Fetch,
            std::cmp::Ordering::Less => SyncAction::Offer,
            std::cmp::Ordering::Equal => SyncAction::UpToDate,
        }
    }
}
