//! The configuration in force at this process.

use std::sync::atomic::{AtomicBool, Ordering};

use flume::{Receiver, Sender};
use parking_lot::{Mutex, RwLock};
use wisteriapass_config::Document;
use wisteriapass_coord::revision::{self, AdoptOutcome, ConfigDocument};

use crate::prelude::*;

/// The document in force, as text and parsed. Both change together.
#[derive(Default)]
struct State {
    active: revision::ActiveConfig,
    document: Arc<Document>,
}

/// Configuration in force; only higher revisions are adopted.
///
/// A process may know a document before it may serve with it; see [`revision::Bootstrap`].
#[derive(Default)]
pub struct ConfigInForce {
    state: RwLock<State>,
    ready: AtomicBool,
    subscribers: Mutex<Vec<Sender<Arc<Document>>>>,
}

impl Service for ConfigInForce {
    const NAME: &'static str = "config";
}

impl ConfigInForce {
    /// Creates an empty configuration at revision 0, with which nothing is served.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the newest known document, whether or not this process may serve with it.
    pub fn document(&self) -> Arc<Document> {
        self.state.read().document.clone()
    }

    /// Returns the document in force, or none if this process may not serve yet.
    pub fn serving_document(&self) -> Option<Arc<Document>> {
        self.is_ready().then(|| self.document())
    }

    /// Returns the document in the form that is sent to other processes.
    pub fn config_document(&self) -> Option<ConfigDocument> {
        self.state.read().active.document().cloned()
    }

    /// Returns the revision in force, or 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.state.read().document.revision
    }

    /// Returns whether this process may serve.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire) && self.revision() > 0
    }

    /// Records that the known document is not older than the one in force in the fleet.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::Release);
    }

    /// Returns a channel that receives the current document and each one that comes into force
    /// later.
    pub fn subscribe(&self) -> Receiver<Arc<Document>> {
        let (tx, rx) = flume::unbounded();
        let state = self.state.read();
        let _ = tx.send(state.document.clone());
        self.subscribers.lock().push(tx);
        rx
    }

    /// Adopts a document if its revision is higher; returns whether it was adopted.
    pub fn offer(&self, text: &str) -> bool {
        let config_document = match ConfigDocument::parse(text) {
            Ok(config_document) => config_document,
            Err(e) => return reject(&e.to_string()),
        };
        // Skips parsing an old document. The revision is checked again under the lock.
        if config_document.revision().0 <= self.revision() {
            return false;
        }
        match Document::from_json(text) {
            Ok(document) => self.adopt(config_document, document),
            Err(e) => reject(&e.to_string()),
        }
    }

    fn adopt(&self, config_document: ConfigDocument, document: Document) -> bool {
        let mut state = self.state.write();
        let revision = config_document.revision();
        match state.active.adopt(config_document) {
            Ok(AdoptOutcome::Applied) => {
                state.document = Arc::new(document);
                log::info!(target: "fleet", "Configuration in force. revision={revision}");
                // Sent under the lock, so that subscribers get the revisions in order.
                let document = &state.document;
                let send = |tx: &Sender<_>| tx.send(document.clone()).is_ok();
                self.subscribers.lock().retain(send);
                true
            }
            Ok(AdoptOutcome::Unchanged | AdoptOutcome::Outdated { .. }) => false,
            Err(e) => reject(&e.to_string()),
        }
    }
}

fn reject(cause: &str) -> bool {
    log::error!(target: "fleet", "Configuration refused. cause={cause:?}");
    false
}
