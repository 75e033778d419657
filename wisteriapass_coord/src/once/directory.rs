//! Index of runs that a home keeps in memory.

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::once::{ClaimOpId, Place, RunId};

/// Location of a run, as known to a home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunLocation {
    /// Side process that owns the run or that the request is about to be sent to.
    pub place: Place,
    /// Time at which the entry expires unless it is published again.
    pub until: Millis,
}

/// Answer of a home to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HomeAnswer {
    /// The run was unknown and is now recorded for the claimant.
    Fresh {
        /// Whether the home knows all runs; if not, the run may exist elsewhere nevertheless.
        is_complete: bool,
    },
    /// The run is already recorded, possibly by an earlier claim of the same router.
    Held(RunLocation),
}

/// Location of a run and the operation that may release it.
#[derive(Clone, Debug)]
struct Entry {
    location: RunLocation,
    /// The only operation that knows of the entry; `None` once the owner has published the run or
    /// another operation has been told of it and may have begun the run.
    sole_claim: Option<ClaimOpId>,
}

/// Index of the runs that have this side process as a home.
///
/// The directory is only an index: the owners of the runs are authoritative, and they publish their
/// runs again when this process restarts.
#[derive(Debug, Default)]
pub struct Directory {
    entries: HashMap<RunId, Entry>,
    published_by: BTreeSet<String>,
}

impl Directory {
    /// Creates an empty directory, which is incomplete until all members have published.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the location of a run for the operation `by`, unless the run is recorded already.
    ///
    /// `members` are the side processes that may own runs.
    pub fn claim<'a>(
        &mut self,
        run: &RunId,
        location: RunLocation,
        by: &ClaimOpId,
        now: Millis,
        members: impl IntoIterator<Item = &'a str>,
    ) -> HomeAnswer {
        let known = self.entries.get_mut(run).filter(|e| e.location.until > now);
        if let Some(entry) = known {
            entry.sole_claim.take_if(|op| op != by);
            return HomeAnswer::Held(entry.location.clone());
        }
        self.entries.insert(run.clone(), Entry::new(location, by));
        HomeAnswer::Fresh {
            is_complete: self.is_complete(members),
        }
    }

    /// Returns the location of a run, if this home knows it.
    pub fn find(&self, run: &RunId, now: Millis) -> Option<&RunLocation> {
        let location = self.entries.get(run).map(|e| &e.location);
        location.filter(|l| l.until > now)
    }

    /// Records a run as its owner reports it, which overrides any claim.
    pub fn publish(&mut self, run: RunId, location: RunLocation) {
        let sole_claim = None;
        self.entries.insert(
            run,
            Entry {
                location,
                sole_claim,
            },
        );
    }

    /// Records that a side process has published all its runs to this home.
    pub fn mark_all_published(&mut self, side: &str) {
        self.published_by.insert(side.into());
    }

    /// Removes the claim of an operation whose run never began and never will.
    ///
    /// The entry stays if another operation has been told of it, because the run may have begun
    /// under that operation. If the claim of a request that did not run were left in place, every
    /// repeat of the request would have an unknown outcome.
    pub fn release(&mut self, run: &RunId, by: &ClaimOpId) {
        let entry = self.entries.get(run);
        if entry.is_some_and(|e| e.sole_claim.as_ref() == Some(by)) {
            self.entries.remove(run);
        }
    }

    /// Replaces the entry of a run if it is missing or points to `gone`; returns whether it did.
    pub fn replace_if_at(
        &mut self,
        run: &RunId,
        gone: &Place,
        location: RunLocation,
        by: &ClaimOpId,
    ) -> bool {
        let known = self.entries.get(run);
        let is_replaceable = known.is_none_or(|e| e.location.place == *gone);
        if is_replaceable {
            self.entries.insert(run.clone(), Entry::new(location, by));
        }
        is_replaceable
    }

    /// Removes expired entries.
    pub fn expire(&mut self, now: Millis) {
        self.entries.retain(|_, e| e.location.until > now);
    }

    /// Returns whether every member has published its runs since this process started.
    pub fn is_complete<'a>(&self, members: impl IntoIterator<Item = &'a str>) -> bool {
        members
            .into_iter()
            .all(|side| self.published_by.contains(side))
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the directory has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl Entry {
    fn new(location: RunLocation, by: &ClaimOpId) -> Self {
        Self {
            location,
            sole_claim: Some(by.clone()),
        }
    }
}
