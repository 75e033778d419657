//! The configuration this process has in force.

use parking_lot::RwLock;
use wisteriapass_config::Document;

use crate::prelude::*;

/// Configuration in force; only growing revisions are adopted.
#[derive(Default)]
pub struct InForce {
    document: RwLock<Arc<Document>>,
}

impl Service for InForce {
    const NAME: &'static str = "config";
}

impl InForce {
    /// Creates an empty configuration at revision 0, which nothing is served under.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the document in force.
    pub fn document(&self) -> Arc<Document> {
        self.document.read().clone()
    }

    /// Returns the revision in force, 0 if none is.
    pub fn revision(&self) -> u64 {
        self.document.read().revision
    }

    /// Adopts a document if its revision is higher; returns whether it was adopted.
    pub fn adopt(&self, document: Document) -> bool {
        let mut current = self.document.write();
        if document.revision <= current.revision {
            return false;
        }
        log::info!(target: "fleet", "Configuration in force. revision={}", document.revision);
        *current = Arc::new(document);
        true
    }
}
