//! Registration of incarnations in the service.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::budget::Origin;
use crate::store::{LeaseId, Result, Revision, Store, StoreError, Swap};

/// Prefix of the origins that may hold money.
const ORIGINS: &str = "origins/";

/// Prefix of the origins whose lease stands.
const LIVE: &str = "live/";

/// Prefix of the side processes.
const SIDES: &str = "sides/";

/// Key that one router holds to look for dead ones, so that not all of them read everything.
const REAPER: &str = "reaper";

/// Tries of one registration whose answers are lost.
const ATTEMPTS: u32 = 4;

/// A registered incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Incarnation.
    pub incarnation: String,
    /// Revision of its registration: what it did came later.
    pub revision: Revision,
}

/// Incarnations as registered behind a [`Store`].
pub struct Registry<'a> {
    store: &'a dyn Store,
}

impl<'a> Registry<'a> {
    /// Reaches the registrations in `store`.
    pub fn new(store: &'a dyn Store) -> Self {
        Self { store }
    }

    /// Registers a router's incarnation, before it takes money.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the service gave no answer; repeating is safe.
    pub fn register_origin(&self, origin: Origin, incarnation: &str) -> Result<()> {
        self.put(&origin_key(origin), incarnation, None)
    }

    /// Registers an incarnation of a side process, before it serves.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the service gave no answer; repeating is safe.
    pub fn register_side(&self, name: &str, incarnation: &str) -> Result<()> {
        self.put(&format!("{SIDES}{name}"), incarnation, None)
    }

    /// Takes a lease and marks the origin as live under it.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the service gave no answer; repeating is safe.
    pub fn mark_live(&self, origin: Origin, ttl: Duration) -> Result<LeaseId> {
        let lease = self.store.grant_lease(ttl)?;
        self.put(&format!("{LIVE}{origin}"), "", Some(lease))?;
        Ok(lease)
    }

    /// Takes an origin off that holds no money any more.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the service gave no answer; repeating is safe.
    pub fn remove_origin(&self, origin: Origin) -> Result<()> {
        for key in [origin_key(origin), format!("{LIVE}{origin}")] {
            if let Some(entry) = self.store.get(&key)? {
                self.store.delete(&key, entry.revision)?;
            }
        }
        Ok(())
    }

    /// Returns whether this origin is the one that looks for dead ones, or becomes it now; the
    /// lease only keeps others from the same work.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the service gave no answer.
    pub fn try_become_reaper(&self, origin: Origin, lease: LeaseId) -> Result<bool> {
        let own = origin.to_string();
        if let Some(entry) = self.store.get(REAPER)? {
            return Ok(entry.value == own);
        }
        let swap = self
            .store
            .swap(REAPER, Revision::ABSENT, &own, Some(lease))?;
        Ok(matches!(swap, Swap::Done(_)))
    }

    /// Returns the registered origins whose lease has lapsed, with their registrations.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the service gave no answer.
    pub fn suspects(&self) -> Result<BTreeMap<Origin, Registration>> {
        // Origins first: one that is listed was marked live before.
        let origins = self.names(ORIGINS)?;
        let live: Vec<String> = self.names(LIVE)?.into_keys().collect();
        let mut suspects = BTreeMap::new();
        for (name, registered) in origins {
            let origin = u64::from_str_radix(&name, 16).map(Origin);
            if let (Ok(origin), false) = (origin, live.contains(&name)) {
                suspects.insert(origin, registered);
            }
        }
        Ok(suspects)
    }

    /// Returns the side processes that ever registered, by name.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the service gave no answer.
    pub fn sides(&self) -> Result<BTreeMap<String, Registration>> {
        self.names(SIDES)
    }

    fn names(&self, prefix: &str) -> Result<BTreeMap<String, Registration>> {
        let mut names = BTreeMap::new();
        for entry in self.store.list(prefix)? {
            let name = entry.key[prefix.len()..].to_owned();
            let registered = Registration {
                incarnation: entry.value,
                revision: entry.revision,
            };
            names.insert(name, registered);
        }
        Ok(names)
    }

    /// Writes a key whatever it holds; a value that stands already is left, with its revision.
    fn put(&self, key: &str, value: &str, lease: Option<LeaseId>) -> Result<()> {
        let mut last = StoreError::Unreachable {
            cause: format!("{key} changed on each try"),
        };
        for _ in 0..ATTEMPTS {
            let current = self.store.get(key)?;
            let stands = current.as_ref().is_some_and(|e| e.value == value);
            if stands && lease.is_none() {
                return Ok(());
            }
            let at = current.map_or(Revision::ABSENT, |e| e.revision);
            match self.store.swap(key, at, value, lease) {
                Ok(Swap::Done(_)) => return Ok(()),
                Ok(Swap::Conflict(_)) => {}
                Err(e) => last = e,
            }
        }
        Err(last)
    }
}

fn origin_key(origin: Origin) -> String {
    format!("{ORIGINS}{origin}")
}
