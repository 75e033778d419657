//! Which failure domains are evacuated: nothing new goes to their targets.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::platform::{Change, Revised};

/// The failure domains that are evacuated, as of a revision of the key-value service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    at: u64,
    domains: BTreeSet<String>,
}

impl Evacuations {
    /// Returns the state behind some changes; `is_whole` if no other domain is evacuated.
    pub fn with_changes(&self, at: u64, changes: &[Revised], is_whole: bool) -> Self {
        let mut domains = match is_whole {
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
        Self { at, domains }
    }

    /// Returns whether this is a later state than another, so that it is to be taken over.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.at > other.at
    }

    /// Returns the domains.
    pub fn domains(&self) -> &BTreeSet<String> {
        &self.domains
    }
}
