//! The document that one process has in force.

use crate::revision::{ConfigDocument, ConfigRevision, Result, RevisionError};

/// Outcome of offering a document to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptOutcome {
    /// It is in force now.
    Applied,
    /// It was in force already.
    Unchanged,
    /// It is older than what is in force and was dropped.
    Outdated {
        /// What stays in force.
        in_force: ConfigRevision,
    },
}

/// What to do on a message that carries the sender's revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncAction {
    /// The sender is ahead: fetch its document.
    Fetch,
    /// The sender is behind: offer it ours.
    Offer,
    /// Both have the same.
    UpToDate,
}

/// Holder of the document in force; it only ever moves to a higher revision.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    held: Option<ConfigDocument>,
}

impl ActiveConfig {
    /// Creates a holder with nothing in force.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the document in force.
    pub fn document(&self) -> Option<&ConfigDocument> {
        self.held.as_ref()
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> ConfigRevision {
        self.held
            .as_ref()
            .map_or(ConfigRevision::NONE, ConfigDocument::revision)
    }

    /// Puts a document in force if it is newer than the one that is.
    ///
    /// # Errors
    ///
    /// [`RevisionError::Diverged`] if a different document carries the revision in force.
    pub fn adopt(&mut self, offered: ConfigDocument) -> Result<AdoptOutcome> {
        let Some(held) = &self.held else {
            self.held = Some(offered);
            return Ok(AdoptOutcome::Applied);
        };
        let in_force = held.revision();
        if offered.revision() < in_force {
            return Ok(AdoptOutcome::Outdated { in_force });
        }
        if offered.revision() > in_force {
            self.held = Some(offered);
            return Ok(AdoptOutcome::Applied);
        }
        if offered.op() != held.op() {
            return Err(RevisionError::Diverged { revision: in_force });
        }
        Ok(AdoptOutcome::Unchanged)
    }

    /// Returns what to do on a message from a sender that has `revision` in force.
    pub fn sync_action(&self, revision: ConfigRevision) -> SyncAction {
        match revision.cmp(&self.revision()) {
            std::cmp::Ordering::Greater => SyncAction::Fetch,
            std::cmp::Ordering::Less => SyncAction::Offer,
            std::cmp::Ordering::Equal => SyncAction::UpToDate,
        }
    }
}
