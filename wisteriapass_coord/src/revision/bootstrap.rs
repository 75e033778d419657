//! When a fresh process may serve: never on an older revision than the fleet has in force.

use std::collections::HashMap;

use crate::revision::{ActiveConfig, ConfigRevision};

/// Whether a fresh process may serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It may serve with what it has in force.
    Ready,
    /// It fetches the document from this peer first.
    Fetch {
        /// Name of the peer.
        peer: String,
        /// Revision that the peer said.
        revision: ConfigRevision,
    },
    /// It waits for the key-value service or for this many more peers.
    Wait {
        /// Peers still to hear.
        missing: usize,
    },
}

/// Start of a fresh process: it serves after it has read the service, or, in an outage, once it has
/// the highest revision among a majority of the known peers.
///
/// A revision that a majority has in force is thus never missed. An edit counts as in force for its
/// operator when a majority said so, which is what the tool waits for.
#[derive(Clone, Debug, Default)]
pub struct Bootstrap {
    known: usize,
    heard: HashMap<String, ConfigRevision>,
    is_service_read: bool,
}

impl Bootstrap {
    /// Creates the start of a process that knows `known` peers, itself not counted.
    pub fn new(known: usize) -> Self {
        Self {
            known,
            ..Self::default()
        }
    }

    /// Notes that the key-value service was read and its document offered to what is in force.
    pub fn with_service_read(mut self) -> Self {
        self.set_service_read();
        self
    }

    /// Notes that the key-value service was read and its document offered to what is in force.
    pub fn set_service_read(&mut self) {
        self.is_service_read = true;
    }

    /// Notes the revision that a serving peer answered with, since this process started.
    pub fn record_peer(&mut self, peer: &str, revision: ConfigRevision) {
        let heard = self.heard.entry(peer.into()).or_default();
        *heard = revision.max(*heard);
    }

    /// Returns whether the process may serve with what it has in force.
    pub fn readiness(&self, in_force: &ActiveConfig) -> Readiness {
        self.readiness_at(in_force.revision())
    }

    /// Returns whether the process may serve with the revision `in_force`.
    pub fn readiness_at(&self, in_force: ConfigRevision) -> Readiness {
        let highest = self.heard.iter().max_by_key(|(_, revision)| **revision);
        if let Some((peer, &revision)) = highest
            && revision > in_force
        {
            let peer = peer.clone();
            return Readiness::Fetch { peer, revision };
        }
        if self.is_service_read {
            return Readiness::Ready;
        }
        let majority = self.known / 2 + 1;
        let missing = majority.saturating_sub(self.heard.len());
        if missing == 0 && in_force > ConfigRevision::NONE {
            return Readiness::Ready;
        }
        Readiness::Wait { missing }
    }
}
