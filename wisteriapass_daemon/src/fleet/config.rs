//! The configuration this process has in force.

use std::sync::atomic::{AtomicBool, Ordering};

use flume::{Receiver, Sender};
use parking_lot::{Mutex, RwLock};
use wisteriapass_config::Document;
use wisteriapass_coord::revision::{self, Adopted, Held};

use crate::prelude::*;

/// The document in force as text and parsed; both change together.
#[derive(Default)]
struct State {
    held: revision::InForce,
    document: Arc<Document>,
}

/// Configuration in force; only growing revisions are adopted.
///
/// A process knows a document before it may serve under it: see
/// [`revision::Bootstrap`].
#[derive(Default)]
pub struct ConfigInForce {
    state: RwLock<State>,
    ready: AtomicBool,
    followers: Mutex<Vec<Sender<Arc<Document>>>>,
}

impl Service for ConfigInForce {
    const NAME: &'static str = "config";
}

impl ConfigInForce {
    /// Creates an empty configuration at revision 0, which nothing is served under.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the document known so far, whether or not it may be served under.
    pub fn document(&self) -> Arc<Document> {
        self.state.read().document.clone()
    }

    /// Returns the document in force, unless this process may not serve yet.
    pub fn serving_document(&self) -> Option<Arc<Document>> {
        self.is_ready().then(|| self.document())
    }

    /// Returns the document as it is handed on to others.
    pub fn held(&self) -> Option<Held> {
        self.state.read().held.held().cloned()
    }

    /// Returns the revision in force, 0 if none is.
    pub fn revision(&self) -> u64 {
        self.state.read().document.revision
    }

    /// Returns whether this process may serve.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire) && self.revision() > 0
    }

    /// Notes that what is known is not older than what the fleet has in force.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::Release);
    }

    /// Returns a channel of the documents that come into force from now on, after the current one.
    pub fn subscribe(&self) -> Receiver<Arc<Document>> {
        let (tx, rx) = flume::unbounded();
        let state = self.state.read();
        let _ = tx.send(state.document.clone());
        self.followers.lock().push(tx);
        rx
    }

    /// Adopts a document if its revision is higher; returns whether it was adopted.
    pub fn offer(&self, text: &str) -> bool {
        let held = match Held::parse(text) {
            Ok(held) => held,
            Err(e) => return refuse(&e.to_string()),
        };
        // Checked under the lock again; parsing a whole document for nothing would be a waste.
        if held.revision().0 <= self.revision() {
            return false;
        }
        match Document::from_json(text) {
            Ok(document) => self.adopt(held, document),
            Err(e) => refuse(&e.to_string()),
        }
    }

    fn adopt(&self, held: Held, document: Document) -> bool {
        let mut state = self.state.write();
        let revision = held.revision();
        match state.held.adopt(held) {
            Ok(Adopted::Now) => {
                state.document = Arc::new(document);
                log::info!(target: "fleet", "Configuration in force. revision={revision}");
                // Told under the lock, so that followers see revisions in order.
                let document = &state.document;
                let tell = |tx: &Sender<_>| tx.send(document.clone()).is_ok();
                self.followers.lock().retain(tell);
                true
            }
            Ok(Adopted::Same | Adopted::Older { .. }) => false,
            Err(e) => refuse(&e.to_string()),
        }
    }
}

fn refuse(cause: &str) -> bool {
    log::error!(target: "fleet", "Configuration refused. cause={cause:?}");
    false
}
