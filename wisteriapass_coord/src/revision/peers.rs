//! Active revision of each peer, as last reported to this process.

use std::collections::HashMap;

use crate::membership::Incarnation;
use crate::revision::ConfigRevision;

/// Latest report of a peer.
#[derive(Clone, Copy, Debug)]
struct PeerReport {
    incarnation: Incarnation,
    revision: ConfigRevision,
}

/// Reported revisions by peer name; each is a lower bound of the revision that is active at the
/// peer by now.
#[derive(Clone, Debug, Default)]
pub struct PeerRevisions {
    peers: HashMap<String, PeerReport>,
}

impl PeerRevisions {
    /// Creates an empty map.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the revision that a peer reported. Reports of older incarnations are ignored.
    pub fn record(&mut self, name: &str, incarnation: Incarnation, revision: ConfigRevision) {
        let report = PeerReport {
            incarnation,
            revision,
        };
        let Some(known) = self.peers.get_mut(name) else {
            self.peers.insert(name.into(), report);
            return;
        };
        if incarnation > known.incarnation {
            *known = report;
        } else if incarnation == known.incarnation {
            known.revision = known.revision.max(revision);
        }
    }

    /// Keeps only the peers for which `keep` returns true.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.peers.retain(|name, _| keep(name));
    }

    /// Returns the revision that a peer reported last.
    pub fn revision_of(&self, name: &str) -> Option<ConfigRevision> {
        self.peers.get(name).map(|r| r.revision)
    }

    /// Returns the highest reported revision.
    pub fn highest(&self) -> ConfigRevision {
        let highest = self.peers.values().map(|r| r.revision).max();
        highest.unwrap_or(ConfigRevision::NONE)
    }

    /// Returns the peers whose reported revision is lower than `revision`.
    pub fn peers_behind(&self, revision: ConfigRevision) -> impl Iterator<Item = &str> {
        let behind = move |r: &PeerReport| r.revision < revision;
        self.peers
            .iter()
            .filter(move |(_, r)| behind(r))
            .map(|(name, _)| name.as_str())
    }

    /// Returns how many peers have at least `revision`, and the number of known peers.
    pub fn count_at_least(&self, revision: ConfigRevision) -> (usize, usize) {
        let reached = self.peers.values().filter(|r| r.revision >= revision);
        (reached.count(), self.peers.len())
    }
}
