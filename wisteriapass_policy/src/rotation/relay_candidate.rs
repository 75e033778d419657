//! Relays that may be the coordinator of their failure domain.

/// A relay that may be the coordinator of its failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayCandidate {
    /// Name of its VM.
    pub name: String,
    /// Whether its VM is known to be strong.
    pub is_strong: bool,
}

impl RelayCandidate {
    /// Returns the candidates in the order in which they become coordinator.
    pub fn in_order(mut candidates: Vec<Self>) -> Vec<Self> {
        let hash = crate::placement::hash_name;
        candidates.sort_by_cached_key(|c| (!c.is_strong, hash(&c.name), c.name.clone()));
        candidates
    }
}
