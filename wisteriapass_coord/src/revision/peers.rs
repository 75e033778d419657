//! Which revision each peer has in force, as far as this process heard.

use std::collections::HashMap;

use crate::membership::Incarnation;
use crate::revision::ConfigRevision;

/// What a peer said last.
#[derive(Clone, Copy, Debug)]
struct Said {
    incarnation: Incarnation,
    revision: ConfigRevision,
}

/// Revisions of the peers; one entry a name, lower bounds of what they have by now.
#[derive(Clone, Debug, Default)]
pub struct PeerRevisions {
    peers: HashMap<String, Said>,
}

impl PeerRevisions {
    /// Creates an empty catalogue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes the revision that a peer said; words of an older incarnation are dropped.
    pub fn record(&mut self, name: &str, incarnation: Incarnation, revision: ConfigRevision) {
        let said = Said {
            incarnation,
            revision,
        };
        let Some(known) = self.peers.get_mut(name) else {
            self.peers.insert(name.into(), said);
            return;
        };
        if incarnation > known.incarnation {
            *known = said;
        } else if incarnation == known.incarnation {
            known.revision = known.revision.max(revision);
        }
    }

    /// Drops the peers that `keep` refuses.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.peers.retain(|name, _| keep(name));
    }

    /// Returns the revision that a peer said last.
    pub fn revision_of(&self, name: &str) -> Option<ConfigRevision> {
        self.peers.get(name).map(|s| s.revision)
    }

    /// Returns the highest revision heard of.
    pub fn highest(&self) -> ConfigRevision {
        let highest = self.peers.values().map(|s| s.revision).max();
        highest.unwrap_or(ConfigRevision::NONE)
    }

    /// Returns the peers that are behind `revision`.
    pub fn peers_behind(&self, revision: ConfigRevision) -> impl Iterator<Item = &str> {
        let behind = move |s: &Said| s.revision < revision;
        self.peers
            .iter()
            .filter(move |(_, s)| behind(s))
            .map(|(name, _)| name.as_str())
    }

    /// Returns how many peers have at least `revision`, and how many are known.
    pub fn count_at_least(&self, revision: ConfigRevision) -> (usize, usize) {
        let reached = self.peers.values().filter(|s| s.revision >= revision);
        (reached.count(), self.peers.len())
    }
}
