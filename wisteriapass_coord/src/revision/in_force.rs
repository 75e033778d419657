//! The document that one process has in force.

use crate::revision::{ConfigRevision, Held, Result, RevisionError};

/// Outcome of offering a document to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adopted {
    /// It is in force now.
    Now,
    /// It was in force already.
    Same,
    /// It is older than what is in force and was dropped.
    Older {
        /// What stays in force.
        in_force: ConfigRevision,
    },
}

/// What to do on a message that carries the sender's revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CatchUp {
    /// The sender is ahead: fetch its document.
    Fetch,
    /// The sender is behind: offer it ours.
    Offer,
    /// Both have the same.
    Same,
}

/// Holder of the document in force; it only ever moves to a higher revision.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    held: Option<Held>,
}

impl InForce {
    /// Creates a holder with nothing in force.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the document in force.
    pub fn held(&self) -> Option<&Held> {
        self.held.as_ref()
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> ConfigRevision {
        self.held
            .as_ref()
            .map_or(ConfigRevision::NONE, Held::revision)
    }

    /// Puts a document in force if it is newer than the one that is.
    ///
    /// # Errors
    ///
    /// [`RevisionError::Diverged`] if a different document carries the revision in force.
    pub fn adopt(&mut self, offered: Held) -> Result<Adopted> {
        let Some(held) = &self.held else {
            self.held = Some(offered);
            return Ok(Adopted::Now);
        };
        let in_force = held.revision();
        if offered.revision() < in_force {
            return Ok(Adopted::Older { in_force });
        }
        if offered.revision() > in_force {
            self.held = Some(offered);
            return Ok(Adopted::Now);
        }
        if offered.op() != held.op() {
            return Err(RevisionError::Diverged { revision: in_force });
        }
        Ok(Adopted::Same)
    }

    /// Returns what to do on a message from a sender that has `revision` in force.
    pub fn on_message(&self, revision: ConfigRevision) -> CatchUp {
        match revision.cmp(&self.revision()) {
            std::cmp::Ordering::Greater => CatchUp::Fetch,
            std::cmp::Ordering::Less => CatchUp::Offer,
            std::cmp::Ordering::Equal => CatchUp::Same,
        }
    }
}
