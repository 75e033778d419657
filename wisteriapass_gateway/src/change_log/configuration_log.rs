//! Recent configurations, as changes from one version to the next.

use std::collections::VecDeque;
use std::rc::Rc;

use super::Cursor;
use crate::catalogue::{Catalogue, CatalogueChange};

/// Number of changes that are kept: as many as arrive in quick succession while a follower is
/// briefly away. A follower that is further behind gets the full configuration.
const MAX_CHANGES: usize = 32;

/// The current configuration and the changes that led to it.
#[derive(Debug, Default)]
pub struct ConfigurationLog {
    cursor: Cursor,
    current: Option<Rc<Catalogue>>,
    changes: VecDeque<Rc<CatalogueChange>>,
    /// The full current configuration, created on demand.
    snapshot: Option<Rc<CatalogueChange>>,
}

impl ConfigurationLog {
    /// Adds the next configuration.
    pub fn push(&mut self, next: Rc<Catalogue>) {
        if let Some(previous) = &self.current {
            self.changes.push_back(Rc::new(next.diff_from(previous)));
        }
        while self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
        self.current = Some(next);
        self.snapshot = None;
    }

    /// Advances the position in the store's history; never moves it back.
    pub fn advance_cursor(&mut self, cursor: Cursor) {
        if cursor.revision >= self.cursor.revision {
            self.cursor = cursor;
        }
    }

    /// Returns the position up to which the store was watched.
    pub fn cursor(&self) -> Cursor {
        self.cursor
    }

    /// Returns the changes that lead from a version to the current one, or the full configuration
    /// if the version is not in the log.
    pub fn changes_since(&mut self, version: u64) -> Vec<Rc<CatalogueChange>> {
        let Some(current) = self.current.clone() else {
            return Vec::new();
        };
        if version >= current.version {
            return Vec::new();
        }
        if let Some(first) = self.changes.iter().position(|c| c.from == version) {
            return self.changes.iter().skip(first).cloned().collect();
        }
        let snapshot = || Rc::new(current.diff_from(&Catalogue::default()));
        vec![self.snapshot.get_or_insert_with(snapshot).clone()]
    }
}
