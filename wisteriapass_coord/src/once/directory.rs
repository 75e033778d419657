//! The index of runs that one home keeps in memory.

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::once::{ClaimOpId, Place, RunId};

/// Where a run is, as far as a home knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunLocation {
    /// Side process that owns the run, or that it is about to be sent to.
    pub place: Place,
    /// When the entry lapses unless published again.
    pub until: Millis,
}

/// What a home says to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HomeAnswer {
    /// Nobody had it; it is entered for the claimant now.
    Fresh {
        /// Whether the home knows all runs; if not, somebody may have it all the same.
        is_complete: bool,
    },
    /// It is there already, perhaps entered by an earlier claim of the same router.
    Held(RunLocation),
}

/// Where a run is, and who may take that back.
#[derive(Clone, Debug)]
struct Entry {
    held: RunLocation,
    /// The one operation that claimed it; none once its owner published it, or another operation
    /// was told of it and may have begun it.
    sole_claim: Option<ClaimOpId>,
}

/// Index of the runs that have this side process for a home.
///
/// It is an index and no store: the runs themselves are the truth, and their owners publish them
/// again when this process starts anew.
#[derive(Debug, Default)]
pub struct Directory {
    entries: HashMap<RunId, Entry>,
    heard: BTreeSet<String>,
}

impl Directory {
    /// Creates an empty directory, which knows that it may miss runs.
    pub fn new() -> Self {
        Self::default()
    }

    /// Enters a run as `held` by an operation unless it is held already; `members` are the side
    /// processes that may own runs.
    pub fn claim<'a>(
        &mut self,
        run: &RunId,
        held: RunLocation,
        by: &ClaimOpId,
        now: Millis,
        members: impl IntoIterator<Item = &'a str>,
    ) -> HomeAnswer {
        let known = self.entries.get_mut(run).filter(|e| e.held.until > now);
        if let Some(entry) = known {
            entry.sole_claim.take_if(|op| op != by);
            return HomeAnswer::Held(entry.held.clone());
        }
        self.entries.insert(run.clone(), Entry::new(held, by));
        HomeAnswer::Fresh {
            is_complete: self.is_complete(members),
        }
    }

    /// Returns where a run is, if this home knows.
    pub fn find(&self, run: &RunId, now: Millis) -> Option<&RunLocation> {
        let held = self.entries.get(run).map(|e| &e.held);
        held.filter(|h| h.until > now)
    }

    /// Enters a run as its owner says; the owner knows better than any claim.
    pub fn publish(&mut self, run: RunId, held: RunLocation) {
        let sole_claim = None;
        self.entries.insert(run, Entry { held, sole_claim });
    }

    /// Notes that a side process has published all its runs to this home.
    pub fn mark_all_published(&mut self, side: &str) {
        self.heard.insert(side.into());
    }

    /// Takes an operation's claim back whose run never began and never will.
    ///
    /// One that another operation was told of stays: the run may have begun under that one. Left
    /// behind, a claim of what did not run makes each repeat of it an unknown outcome.
    pub fn release(&mut self, run: &RunId, by: &ClaimOpId) {
        let entry = self.entries.get(run);
        if entry.is_some_and(|e| e.sole_claim.as_ref() == Some(by)) {
            self.entries.remove(run);
        }
    }

    /// Moves an entry from a place that has gone; returns whether it still pointed there.
    pub fn replace_if_at(
        &mut self,
        run: &RunId,
        gone: &Place,
        held: RunLocation,
        by: &ClaimOpId,
    ) -> bool {
        let known = self.entries.get(run);
        let points_there = known.is_none_or(|e| e.held.place == *gone);
        if points_there {
            self.entries.insert(run.clone(), Entry::new(held, by));
        }
        points_there
    }

    /// Forgets what lapsed.
    pub fn expire(&mut self, now: Millis) {
        self.entries.retain(|_, e| e.held.until > now);
    }

    /// Returns whether every member has published its runs since this process started.
    pub fn is_complete<'a>(&self, members: impl IntoIterator<Item = &'a str>) -> bool {
        members.into_iter().all(|side| self.heard.contains(side))
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl Entry {
    fn new(held: RunLocation, by: &ClaimOpId) -> Self {
        Self {
            held,
            sole_claim: Some(by.clone()),
        }
    }
}
