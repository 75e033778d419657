//! The origins that side processes refuse.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::budget::Origin;
use crate::store::{Result, Revision, Store, StoreError, Swap};

/// Key of the list.
const KEY: &str = "fences";

/// Tries of one compare-and-swap.
const ATTEMPTS: u32 = 8;

/// Fenced origins, as kept in the service; a fresh side process serves nothing before it read them.
///
/// An origin stays on the list for good: a paused router may come back at any time. Ten thousand
/// take a fifth of a megabyte, and the oldest would go by hand then.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceList {
    origins: BTreeSet<Origin>,
}

impl FenceList {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the service gave no answer or the list can't be read.
    pub fn read(store: &dyn Store) -> Result<Self> {
        Ok(read(store)?.1)
    }

    /// Puts an origin on the list; once there it stays.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the service gave no answer; repeating is safe.
    pub fn add(store: &dyn Store, origin: Origin) -> Result<()> {
        let mut last = contended();
        for _ in 0..ATTEMPTS {
            let (revision, mut list) = read(store)?;
            if !list.origins.insert(origin) {
                return Ok(());
            }
            let value = serde_json::to_string(&list).map_err(|e| refused(&e))?;
            match store.swap(KEY, revision, &value, None) {
                Ok(Swap::Done(_)) => return Ok(()),
                Ok(Swap::Conflict(_)) => {}
                Err(e) => last = e,
            }
        }
        Err(last)
    }

    /// Returns whether an origin is refused.
    pub fn contains(&self, origin: Origin) -> bool {
        self.origins.contains(&origin)
    }

    /// Returns the refused origins.
    pub fn origins(&self) -> impl Iterator<Item = Origin> {
        self.origins.iter().copied()
    }
}

fn read(store: &dyn Store) -> Result<(Revision, FenceList)> {
    let Some(entry) = store.get(KEY)? else {
        return Ok((Revision::ABSENT, FenceList::default()));
    };
    let list = serde_json::from_str(&entry.value).map_err(|e| refused(&e))?;
    Ok((entry.revision, list))
}

fn refused(e: &serde_json::Error) -> StoreError {
    StoreError::Refused {
        cause: format!("{KEY}: {e}"),
    }
}

fn contended() -> StoreError {
    StoreError::Unreachable {
        cause: format!("{KEY} changed on each try"),
    }
}
