//! The configuration in force at this process.

use flume::{Receiver, Sender};
use parking_lot::{Mutex, RwLock};
use wisteriapass_config::Document;

use crate::prelude::*;

/// Configuration in force; only higher revisions are adopted.
#[derive(Default)]
pub struct InForce {
    document: RwLock<Arc<Document>>,
    followers: Mutex<Vec<Sender<Arc<Document>>>>,
}

impl Service for InForce {
    const NAME: &'static str = "config";
}

impl InForce {
    /// Creates an empty configuration at revision 0, under which no request is served.
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
        // Sent under the lock so that followers receive the revisions in order.
        self.followers
            .lock()
            .retain(|tx| tx.send(current.clone()).is_ok());
        true
    }

    /// Returns a channel with the current document and each document that comes into force later.
    pub fn follow(&self) -> Receiver<Arc<Document>> {
        let (tx, rx) = flume::unbounded();
        let current = self.document.read();
        let _ = tx.send(current.clone());
        self.followers.lock().push(tx);
        rx
    }
}
