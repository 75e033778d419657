//! Registration of incarnations in the store.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::budget::Origin;
use crate::store::{LeaseId, Result, Revision, Store, StoreError, Swap};

/// Prefix of the keys of origins that may hold tokens.
const ORIGIN_PREFIX: &str = "origins/";

/// Prefix of the keys of origins whose lease has not lapsed.
const LIVE_PREFIX: &str = "live/";

/// Prefix of the keys of side processes.
const SIDE_PREFIX: &str = "sides/";

/// Key that a router holds while it checks for dead routers, so that not all routers read all
/// registrations.
const REAPER_KEY: &str = "reaper";

/// Maximum number of attempts at writing a registration.
const MAX_ATTEMPTS: u32 = 4;

/// Registration of an incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// The incarnation.
    pub incarnation: String,
    /// Revision of the registration; everything the incarnation did came later.
    pub revision: Revision,
}

/// Access to the registrations in a [`Store`].
pub struct Registry<'a> {
    store: &'a dyn Store,
}

impl<'a> Registry<'a> {
    /// Creates access to the registrations in `store`.
    pub fn new(store: &'a dyn Store) -> Self {
        Self { store }
    }

    /// Registers an incarnation of a router, before it requests grants.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store did not respond; repeating is safe.
    pub fn register_origin(&self, origin: Origin, incarnation: &str) -> Result<()> {
        self.write(&origin_key(origin), incarnation, None)
    }

    /// Registers an incarnation of a side process, before it accepts work.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store did not respond; repeating is safe.
    pub fn register_side(&self, name: &str, incarnation: &str) -> Result<()> {
        self.write(&format!("{SIDE_PREFIX}{name}"), incarnation, None)
    }

    /// Acquires a lease and marks the origin as live under it.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store did not respond; repeating is safe.
    pub fn mark_live(&self, origin: Origin, ttl: Duration) -> Result<LeaseId> {
        let lease = self.store.grant_lease(ttl)?;
        self.write(&format!("{LIVE_PREFIX}{origin}"), "", Some(lease))?;
        Ok(lease)
    }

    /// Removes the registration of an origin that no longer holds tokens.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store did not respond; repeating is safe.
    pub fn remove_origin(&self, origin: Origin) -> Result<()> {
        for key in [origin_key(origin), format!("{LIVE_PREFIX}{origin}")] {
            if let Some(entry) = self.store.get(&key)? {
                self.store.delete(&key, entry.revision)?;
            }
        }
        Ok(())
    }

    /// Returns whether this origin checks for dead routers, after trying to take over that role if
    /// it is vacant. The role only saves work; correctness does not depend on it being exclusive.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store did not respond.
    pub fn try_become_reaper(&self, origin: Origin, lease: LeaseId) -> Result<bool> {
        let own = origin.to_string();
        if let Some(entry) = self.store.get(REAPER_KEY)? {
            return Ok(entry.value == own);
        }
        let swap = self
            .store
            .swap(REAPER_KEY, Revision::ABSENT, &own, Some(lease))?;
        Ok(matches!(swap, Swap::Done(_)))
    }

    /// Returns the registrations of the origins whose lease has lapsed.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store did not respond.
    pub fn suspects(&self) -> Result<BTreeMap<Origin, Registration>> {
        // Read the origins first: an origin is marked live before it is registered.
        let origins = self.registrations(ORIGIN_PREFIX)?;
        let live: Vec<String> = self.registrations(LIVE_PREFIX)?.into_keys().collect();
        let mut suspects = BTreeMap::new();
        for (name, registration) in origins {
            let origin = u64::from_str_radix(&name, 16).map(Origin);
            if let (Ok(origin), false) = (origin, live.contains(&name)) {
                suspects.insert(origin, registration);
            }
        }
        Ok(suspects)
    }

    /// Returns the registrations of all side processes that were ever registered, by name.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store did not respond.
    pub fn sides(&self) -> Result<BTreeMap<String, Registration>> {
        self.registrations(SIDE_PREFIX)
    }

    fn registrations(&self, prefix: &str) -> Result<BTreeMap<String, Registration>> {
        let mut registrations = BTreeMap::new();
        for entry in self.store.list(prefix)? {
            let name = entry.key[prefix.len()..].to_owned();
            let registration = Registration {
                incarnation: entry.value,
                revision: entry.revision,
            };
            registrations.insert(name, registration);
        }
        Ok(registrations)
    }

    /// Writes a key regardless of its value. Without a lease, a key that already has this value
    /// keeps its revision.
    fn write(&self, key: &str, value: &str, lease: Option<LeaseId>) -> Result<()> {
        let mut last_error = StoreError::Unreachable {
            cause: format!("{key} changed on each attempt"),
        };
        for _ in 0..MAX_ATTEMPTS {
            let current = self.store.get(key)?;
            let is_current = current.as_ref().is_some_and(|e| e.value == value);
            if is_current && lease.is_none() {
                return Ok(());
            }
            let expected = current.map_or(Revision::ABSENT, |e| e.revision);
            match self.store.swap(key, expected, value, lease) {
                Ok(Swap::Done(_)) => return Ok(()),
                Ok(Swap::Conflict(_)) => {}
                Err(e) => last_error = e,
            }
        }
        Err(last_error)
    }
}

fn origin_key(origin: Origin) -> String {
    format!("{ORIGIN_PREFIX}{origin}")
}
