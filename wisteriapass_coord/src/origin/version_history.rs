//! The software versions that may have begun a stream which can still be resumed.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use super::version_record::VersionRecord;
use super::{MAX_STREAM_MS, Software};

/// Whether targets of a version serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    /// Some do.
    Serving,
    /// None has done so since then, in milliseconds.
    GoneSince(u64),
}

impl Presence {
    /// Returns whether a stream of the version may still be resumed.
    fn is_possible(self, now: u64) -> bool {
        match self {
            Self::Serving => true,
            Self::GoneSince(at) => now.saturating_sub(at) < MAX_STREAM_MS,
        }
    }
}

/// The versions of the targets that a router knows, or knew of late.
///
/// A router that has just started does not know what served before. It learns that from a record that
/// outlives all routers.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    versions: BTreeMap<Software, Presence>,
    is_complete: bool,
}

impl VersionHistory {
    /// Updates the versions from all targets that are known now, given by service and version.
    /// Returns whether a version is new.
    pub fn observe<'a>(
        &mut self,
        now: u64,
        targets: impl Iterator<Item = (&'a str, &'a str)>,
    ) -> bool {
        let before = self.versions.len();
        let mut serving: SmallVec<[(&str, &str); 16]> = SmallVec::new();
        for target in targets {
            if !serving.contains(&target) {
                serving.push(target);
            }
        }
        for (software, presence) in &mut self.versions {
            let serves = serving.iter().any(|(s, v)| software.is(s, v));
            match presence {
                _ if serves => *presence = Presence::Serving,
                Presence::Serving => *presence = Presence::GoneSince(now),
                Presence::GoneSince(_) => {}
            }
        }
        for (service, version) in serving {
            let software = Software::new(service, version);
            self.versions.insert(software, Presence::Serving);
        }
        self.versions.len() > before
    }

    /// Adds a version that another router knows, and of which this one knows no target.
    pub fn learn(&mut self, now: u64, software: &Software) {
        if !self.versions.contains_key(software) {
            let presence = Presence::GoneSince(now);
            self.versions.insert(software.clone(), presence);
        }
    }

    /// Adds the versions of a record. The history is complete with it: the record has all versions
    /// that served before this router started.
    pub fn merge(&mut self, now: u64, record: &VersionRecord) {
        for software in &record.versions {
            self.learn(now, software);
        }
        self.is_complete = true;
    }

    /// Forgets versions that are gone for so long that none of their streams can be resumed.
    pub fn forget_expired(&mut self, now: u64) {
        self.versions
            .retain(|_, presence| presence.is_possible(now));
    }

    /// Returns whether all versions are known that may have begun a stream which can still be
    /// resumed.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns the versions of a service that may have begun a stream.
    pub fn of_service(&self, now: u64, service: &str) -> SmallVec<[&Software; 4]> {
        let possible = self.possible(now);
        possible.filter(|s| s.service == service).collect()
    }

    /// Returns whether more than one version of some service may have begun streams.
    pub fn has_several_versions(&self, now: u64) -> bool {
        let mut last = None;
        // Versions of a service follow each other.
        self.possible(now)
            .any(|software| last.replace(&software.service) == Some(&software.service))
    }

    /// Returns the record that replaces a stored one: versions that serve are added, and versions that
    /// this history has forgotten are removed.
    pub fn updated_record(&self, stored: &VersionRecord) -> VersionRecord {
        let is_remembered = |software: &&Software| self.versions.contains_key(software);
        let remembered = stored.versions.iter().filter(is_remembered);
        let all = self.versions.iter();
        let serving = all.filter(|(_, presence)| **presence == Presence::Serving);
        let serving = serving.map(|(software, _)| software);
        VersionRecord {
            versions: remembered.chain(serving).cloned().collect(),
        }
    }

    fn possible(&self, now: u64) -> impl Iterator<Item = &Software> {
        let all = self.versions.iter();
        let possible = all.filter(move |(_, presence)| presence.is_possible(now));
        possible.map(|(software, _)| software)
    }
}
