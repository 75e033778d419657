//! In-memory key-value service for tests, examples and the simulated platform.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use parking_lot::{Condvar, Mutex};

use crate::store::{Entry, LeaseId, Result, Revision, Store, StoreError, Swap};

/// Stored value of a key.
#[derive(Clone, Debug)]
struct StoredValue {
    value: String,
    revision: Revision,
    lease: Option<LeaseId>,
}

/// Lease with its expiration time.
#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

#[derive(Default)]
struct State {
    values: BTreeMap<String, StoredValue>,
    leases: BTreeMap<u64, Lease>,
    revision: u64,
    next_lease: u64,
}

/// Key-value service in the memory of this process.
#[derive(Default)]
pub struct MemoryStore {
    state: Mutex<State>,
    changed: Condvar,
}

impl MemoryStore {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the write counter.
    pub fn revision(&self) -> Revision {
        Revision(self.state.lock().revision)
    }
}

impl State {
    fn remove_expired(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, l)| l.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.leases.remove(&id);
            let before = self.values.len();
            self.values.retain(|_, v| v.lease != Some(LeaseId(id)));
            if self.values.len() != before {
                self.revision += 1;
            }
        }
    }

    fn entry(&self, key: &str) -> Option<Entry> {
        let stored = self.values.get(key)?;
        Some(Entry {
            key: key.into(),
            value: stored.value.clone(),
            revision: stored.revision,
        })
    }

    fn with_prefix(&self, prefix: &str, after: Revision) -> Vec<Entry> {
        self.values
            .range(prefix.to_owned()..)
            .take_while(|(k, _)| k.starts_with(prefix))
            .filter(|(_, v)| v.revision > after)
            .map(|(k, v)| Entry {
                key: k.clone(),
                value: v.value.clone(),
                revision: v.revision,
            })
            .collect()
    }

    fn is_at(&self, key: &str, expected: Revision) -> bool {
        self.values
            .get(key)
            .map_or(Revision::ABSENT, |v| v.revision)
            == expected
    }
}

impl Store for MemoryStore {
    fn get(&self, key: &str) -> Result<Option<Entry>> {
        let mut state = self.state.lock();
        state.remove_expired();
        Ok(state.entry(key))
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        let mut state = self.state.lock();
        state.remove_expired();
        Ok(state.with_prefix(prefix, Revision::ABSENT))
    }

    fn swap(
        &self,
        key: &str,
        expected: Revision,
        value: &str,
        lease: Option<LeaseId>,
    ) -> Result<Swap> {
        let mut state = self.state.lock();
        state.remove_expired();
        if lease.is_some_and(|l| !state.leases.contains_key(&l.0)) {
            return Err(StoreError::Refused {
                cause: "the lease has expired".into(),
            });
        }
        if !state.is_at(key, expected) {
            return Ok(Swap::Conflict(state.entry(key)));
        }
        state.revision += 1;
        let revision = Revision(state.revision);
        state.values.insert(
            key.into(),
            StoredValue {
                value: value.into(),
                revision,
                lease,
            },
        );
        self.changed.notify_all();
        Ok(Swap::Done(revision))
    }

    fn delete(&self, key: &str, expected: Revision) -> Result<Swap> {
        let mut state = self.state.lock();
        state.remove_expired();
        if !state.is_at(key, expected) {
            return Ok(Swap::Conflict(state.entry(key)));
        }
        state.values.remove(key);
        state.revision += 1;
        self.changed.notify_all();
        Ok(Swap::Done(Revision(state.revision)))
    }

    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<(Revision, Vec<Entry>)> {
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock();
        loop {
            state.remove_expired();
            let entries = state.with_prefix(prefix, after);
            if !entries.is_empty() || Instant::now() >= deadline {
                return Ok((Revision(state.revision), entries));
            }
            self.changed.wait_until(&mut state, deadline);
        }
    }

    fn grant_lease(&self, ttl: Duration) -> Result<LeaseId> {
        let mut state = self.state.lock();
        state.next_lease += 1;
        let id = state.next_lease;
        state.leases.insert(
            id,
            Lease {
                ttl,
                expires_at: Instant::now() + ttl,
            },
        );
        Ok(LeaseId(id))
    }

    fn renew_lease(&self, lease: LeaseId) -> Result<bool> {
        let mut state = self.state.lock();
        state.remove_expired();
        let Some(current) = state.leases.get_mut(&lease.0) else {
            return Ok(false);
        };
        current.expires_at = Instant::now() + current.ttl;
        Ok(true)
    }
}
