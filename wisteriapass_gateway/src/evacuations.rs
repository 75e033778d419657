//! Evacuated failure domains, whose targets get no new requests.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::platform::{Change, RevisedChange};

/// The evacuated failure domains at a revision of the key-value store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    revision: u64,
    domains: BTreeSet<String>,
}

impl Evacuations {
    /// Returns the state after some changes; with `is_snapshot`, no other domain is evacuated.
    pub fn with_changes(
        &self,
        revision: u64,
        changes: &[RevisedChange],
        is_snapshot: bool,
    ) -> Self {
        let mut domains = match is_snapshot {
            true => BTreeSet::new(),
            false => self.domains.clone(),
        };
        for revised in changes {
            match &revised.change {
                Change::Evacuated(domain) => domains.insert(domain.clone()),
                Change::Restored(domain) => domains.remove(domain),
                _ => continue,
            };
        }
        Self { revision, domains }
    }

    /// Returns whether this state is newer than another and therefore replaces it.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.revision > other.revision
    }

    /// Returns the evacuated domains.
    pub fn domains(&self) -> &BTreeSet<String> {
        &self.domains
    }
}
