//! The configurations of late, as changes from one to the next.

use std::collections::VecDeque;
use std::rc::Rc;

use super::Cursor;
use crate::catalogue::{Catalogue, CatalogueChange};

/// Changes that are kept: as many as come in quick succession while a follower is away for a
/// moment; beyond them the whole is told.
const KEPT: usize = 32;

/// The configuration in force and how it came about.
#[derive(Debug, Default)]
pub struct ConfigurationLog {
    cursor: Cursor,
    current: Option<Rc<Catalogue>>,
    changes: VecDeque<Rc<CatalogueChange>>,
    /// The whole of the current one, once somebody needed it.
    whole: Option<Rc<CatalogueChange>>,
}

impl ConfigurationLog {
    /// Takes the next configuration in.
    pub fn push(&mut self, next: Rc<Catalogue>) {
        if let Some(before) = &self.current {
            self.changes.push_back(Rc::new(next.change_from(before)));
        }
        while self.changes.len() > KEPT {
            self.changes.pop_front();
        }
        self.current = Some(next);
        self.whole = None;
    }

    /// Notes up to where the service was followed; never back.
    pub fn advance_cursor(&mut self, cursor: Cursor) {
        if cursor.revision >= self.cursor.revision {
            self.cursor = cursor;
        }
    }

    /// Returns up to where the service was followed.
    pub fn cursor(&self) -> Cursor {
        self.cursor
    }

    /// Returns the changes that lead from a version to the one in force; those of the whole if the
    /// version is not known here.
    pub fn since(&mut self, version: u64) -> Vec<Rc<CatalogueChange>> {
        let Some(current) = self.current.clone() else {
            return Vec::new();
        };
        if version >= current.version {
            return Vec::new();
        }
        if let Some(first) = self.changes.iter().position(|c| c.from == version) {
            return self.changes.iter().skip(first).cloned().collect();
        }
        let whole = || Rc::new(current.change_from(&Catalogue::default()));
        vec![self.whole.get_or_insert_with(whole).clone()]
    }
}
