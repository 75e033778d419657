//! List of the origins that side processes refuse.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::budget::Origin;
use crate::store::{Result, Revision, Store, StoreError, Swap};

/// Key of the list in the store.
const KEY: &str = "fences";

/// Maximum number of attempts at a compare-and-swap.
const MAX_ATTEMPTS: u32 = 8;

/// Fenced origins, as stored. A new side process accepts no work before it has read them.
///
/// An origin is never removed, because a paused router may resume at any time. Ten thousand origins
/// take a fifth of a megabyte; beyond that, the oldest have to be removed by hand.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceList {
    origins: BTreeSet<Origin>,
}

impl FenceList {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store did not respond or the list cannot be parsed.
    pub fn read(store: &dyn Store) -> Result<Self> {
        Ok(read(store)?.1)
    }

    /// Adds an origin to the list permanently.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store did not respond; repeating is safe.
    pub fn add(store: &dyn Store, origin: Origin) -> Result<()> {
        let mut last_error = contended_error();
        for _ in 0..MAX_ATTEMPTS {
            let (revision, mut list) = read(store)?;
            if !list.origins.insert(origin) {
                return Ok(());
            }
            let value = serde_json::to_string(&list).map_err(|e| json_error(&e))?;
            match store.swap(KEY, revision, &value, None) {
                Ok(Swap::Done(_)) => return Ok(()),
                Ok(Swap::Conflict(_)) => {}
                Err(e) => last_error = e,
            }
        }
        Err(last_error)
    }

    /// Returns whether an origin is on the list.
    pub fn contains(&self, origin: Origin) -> bool {
        self.origins.contains(&origin)
    }

    /// Returns the origins on the list.
    pub fn origins(&self) -> impl Iterator<Item = Origin> {
        self.origins.iter().copied()
    }
}

fn read(store: &dyn Store) -> Result<(Revision, FenceList)> {
    let Some(entry) = store.get(KEY)? else {
        return Ok((Revision::ABSENT, FenceList::default()));
    };
    let list = serde_json::from_str(&entry.value).map_err(|e| json_error(&e))?;
    Ok((entry.revision, list))
}

fn json_error(e: &serde_json::Error) -> StoreError {
    StoreError::Refused {
        cause: format!("{KEY}: {e}"),
    }
}

fn contended_error() -> StoreError {
    StoreError::Unreachable {
        cause: format!("{KEY} changed on each attempt"),
    }
}
