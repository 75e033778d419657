//! The index of runs that one home keeps in memory.

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::once::{Place, RunId};

/// Where a run is, as far as a home knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
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
    Held(Held),
}

/// Index of the runs that have this side process for a home.
///
/// It is an index and no store: the runs themselves are the truth, and their owners publish them
/// again when this process starts anew.
#[derive(Debug, Default)]
pub struct Directory {
    entries: HashMap<RunId, Held>,
    heard: BTreeSet<String>,
}

impl Directory {
    /// Creates an empty directory, which knows that it may miss runs.
    pub fn new() -> Self {
        Self::default()
    }

    /// Enters a run for `place` unless it is held already; `members` are the side processes that
    /// may own runs.
    pub fn claim<'a>(
        &mut self,
        run: &RunId,
        place: &Place,
        until: Millis,
        now: Millis,
        members: impl IntoIterator<Item = &'a str>,
    ) -> HomeAnswer {
        if let Some(held) = self.find(run, now) {
            return HomeAnswer::Held(held.clone());
        }
        let held = Held {
            place: place.clone(),
            until,
        };
        self.entries.insert(run.clone(), held);
        HomeAnswer::Fresh {
            is_complete: self.is_complete(members),
        }
    }

    /// Returns where a run is, if this home knows.
    pub fn find(&self, run: &RunId, now: Millis) -> Option<&Held> {
        self.entries.get(run).filter(|h| h.until > now)
    }

    /// Enters a run as its owner says; the owner knows better than any claim.
    pub fn publish(&mut self, run: RunId, held: Held) {
        self.entries.insert(run, held);
    }

    /// Notes that a side process has published all its runs to this home.
    pub fn published_all(&mut self, side: &str) {
        self.heard.insert(side.into());
    }

    /// Takes a claim back whose run never began at `place`.
    pub fn release(&mut self, run: &RunId, place: &Place) {
        if self.entries.get(run).is_some_and(|h| h.place == *place) {
            self.entries.remove(run);
        }
    }

    /// Moves an entry from a place that has gone; returns whether it still pointed there.
    pub fn move_from(&mut self, run: &RunId, gone: &Place, held: Held) -> bool {
        let points_there = self.entries.get(run).is_none_or(|h| h.place == *gone);
        if points_there {
            self.entries.insert(run.clone(), held);
        }
        points_there
    }

    /// Forgets what lapsed.
    pub fn expire(&mut self, now: Millis) {
        self.entries.retain(|_, h| h.until > now);
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
