//! The entries of the targets, and the revision of the last relevant change to each.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::Cursor;
use crate::platform::{Change, RevisedChange};
use crate::target::{TargetEntry, TargetId};

/// Maximum number of removed entries that are remembered.
const MAX_REMOVED: usize = 1_024;

/// A change of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetChange {
    /// The target's new entry.
    Entry(TargetEntry),
    /// The target may get no more requests.
    Gone(TargetId),
    /// The target's entry is missing and may come back.
    Missing {
        /// The target.
        id: TargetId,
        /// Time for which it may still get requests, in milliseconds.
        left_ms: u64,
    },
}

/// Changes of the targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetChangeSet {
    /// Position from which to continue.
    pub cursor: Cursor,
    /// Revision after which these changes occurred; `None` if they are the full state.
    pub since: Option<u64>,
    /// The changes and their revisions.
    pub changes: Vec<(u64, TargetChange)>,
}

/// Longest time for which a relay may state that a missing entry can come back, in milliseconds.
const MAX_MISSING_MS: u64 = 60_000;

impl TargetChange {
    /// Converts a change that a relay sent to one of this router's.
    pub fn into_change(self, now: Instant) -> Change {
        match self {
            Self::Entry(entry) => Change::Target(entry),
            Self::Gone(id) => Change::Removed(id),
            Self::Missing { id, left_ms } => {
                let left = Duration::from_millis(left_ms.min(MAX_MISSING_MS));
                Change::Missing(id, now + left)
            }
        }
    }
}

/// A target's entry, `None` if it was removed, and the revision of its last change.
#[derive(Clone, Debug)]
struct LoggedEntry {
    revision: u64,
    entry: Option<TargetEntry>,
}

/// The entries of the targets.
#[derive(Debug, Default)]
pub struct TargetLog {
    cursor: Cursor,
    /// Revision since which every removed entry is remembered.
    complete_since: u64,
    entries: HashMap<TargetId, LoggedEntry>,
}

impl TargetLog {
    /// Applies changes up to a position; with `is_snapshot`, all other entries are removed.
    pub fn apply(&mut self, cursor: Cursor, changes: &[RevisedChange], is_snapshot: bool) {
        if is_snapshot {
            self.remove_missing(cursor, changes);
        }
        for revised in changes {
            let (id, entry) = match &revised.change {
                Change::Target(entry) => (&entry.id, Some(entry.clone())),
                Change::Removed(id) | Change::Invalid(id) | Change::Missing(id, _) => (id, None),
                Change::Configuration(_) | Change::Evacuated(_) | Change::Restored(_) => continue,
            };
            self.record(id, revised.revision, entry);
        }
        if cursor.revision >= self.cursor.revision {
            self.cursor = cursor;
        }
        self.prune();
    }

    /// Returns the position up to which the store was watched.
    pub fn cursor(&self) -> Cursor {
        self.cursor
    }

    /// Returns the changes after a revision; `missing` returns the time until which a removed entry
    /// may come back.
    pub fn changes_since(
        &self,
        revision: u64,
        now: Instant,
        missing: impl Fn(&TargetId) -> Option<Instant>,
    ) -> Option<TargetChangeSet> {
        if self.cursor.revision <= revision {
            return None;
        }
        let since = (revision > 0 && revision >= self.complete_since).then_some(revision);
        let is_new = |logged: &LoggedEntry| since.is_none_or(|since| logged.revision > since);
        let changed = self.entries.iter().filter(|(_, logged)| is_new(logged));
        let changes = changed.map(|(id, logged)| {
            let until = missing(id).map(|until| until.saturating_duration_since(now));
            let change = match (&logged.entry, until) {
                (Some(entry), _) => TargetChange::Entry(entry.clone()),
                (None, Some(left)) => TargetChange::Missing {
                    id: id.clone(),
                    left_ms: left.as_millis() as u64,
                },
                (None, None) => TargetChange::Gone(id.clone()),
            };
            (logged.revision, change)
        });
        Some(TargetChangeSet {
            cursor: self.cursor,
            since,
            changes: changes.collect(),
        })
    }

    /// Records an entry, unless it is outdated or unchanged.
    fn record(&mut self, id: &TargetId, revision: u64, entry: Option<TargetEntry>) {
        let known = self.entries.get(id);
        if known.is_some_and(|known| known.revision >= revision || known.entry == entry) {
            return;
        }
        self.entries
            .insert(id.clone(), LoggedEntry { revision, entry });
    }

    /// Records all entries that are not in a snapshot as removed.
    fn remove_missing(&mut self, cursor: Cursor, snapshot: &[RevisedChange]) {
        let mut missing: Vec<TargetId> = self.entries.keys().cloned().collect();
        missing.retain(|id| {
            !snapshot
                .iter()
                .any(|revised| revised.change.target() == Some(id))
        });
        for id in missing {
            self.record(&id, cursor.revision, None);
        }
    }

    /// Forgets the older half of the removed entries if there are too many.
    fn prune(&mut self) {
        let removed = self
            .entries
            .values()
            .filter(|logged| logged.entry.is_none());
        let mut revisions: Vec<u64> = removed.map(|logged| logged.revision).collect();
        if revisions.len() <= MAX_REMOVED {
            return;
        }
        let middle = revisions.len() / 2;
        let (_, oldest, _) = revisions.select_nth_unstable(middle);
        let oldest = *oldest;
        self.complete_since = self.complete_since.max(oldest);
        self.entries
            .retain(|_, logged| logged.entry.is_some() || logged.revision > oldest);
    }
}
