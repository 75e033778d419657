//! Decides when a starting process may serve: never with an older revision than the fleet uses.

use std::collections::HashMap;

use crate::revision::{ActiveConfig, ConfigRevision};

/// Whether a starting process may serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// The process may serve with its active configuration.
    Ready,
    /// The process has to fetch the document from this peer first.
    Fetch {
        /// Peer name.
        peer: String,
        /// Revision that the peer reported.
        revision: ConfigRevision,
    },
    /// The process waits for the key-value service or for this many more peers.
    Wait {
        /// Number of peers that have yet to respond.
        missing: usize,
    },
}

/// Start of a process. It may serve after it has read the key-value service or, during an outage,
/// once it has the highest revision among a majority of the known peers.
///
/// A revision that is active at a majority of the processes is therefore never missed. The
/// operators' tool reports an edit as in force only after a majority has confirmed it.
#[derive(Clone, Debug, Default)]
pub struct Bootstrap {
    known_peers: usize,
    peer_revisions: HashMap<String, ConfigRevision>,
    is_service_read: bool,
}

impl Bootstrap {
    /// Creates the start of a process that knows `known_peers` peers, not counting itself.
    pub fn new(known_peers: usize) -> Self {
        Self {
            known_peers,
            ..Self::default()
        }
    }

    /// Records that the key-value service was read and its document passed to
    /// [`ActiveConfig::adopt`].
    pub fn with_service_read(mut self) -> Self {
        self.set_service_read();
        self
    }

    /// Records that the key-value service was read and its document passed to
    /// [`ActiveConfig::adopt`].
    pub fn set_service_read(&mut self) {
        self.is_service_read = true;
    }

    /// Records the revision that a serving peer has reported since this process started.
    pub fn record_peer(&mut self, peer: &str, revision: ConfigRevision) {
        let known = self.peer_revisions.entry(peer.into()).or_default();
        *known = revision.max(*known);
    }

    /// Returns whether the process may serve with its active configuration.
    pub fn readiness(&self, config: &ActiveConfig) -> Readiness {
        self.readiness_at(config.revision())
    }

    /// Returns whether the process may serve with the revision `active`.
    pub fn readiness_at(&self, active: ConfigRevision) -> Readiness {
        let highest = self
            .peer_revisions
            .iter()
            .max_by_key(|(_, revision)| **revision);
        if let Some((peer, &revision)) = highest
            && revision > active
        {
            let peer = peer.clone();
            return Readiness::Fetch { peer, revision };
        }
        if self.is_service_read {
            return Readiness::Ready;
        }
        let majority = self.known_peers / 2 + 1;
        let missing = majority.saturating_sub(self.peer_revisions.len());
        if missing == 0 && active > ConfigRevision::NONE {
            return Readiness::Ready;
        }
        Readiness::Wait { missing }
    }
}
