//! The key-value service in memory, for tests, examples and the stand-in of the platform.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use parking_lot::{Condvar, Mutex};

use crate::store::{Entry, LeaseId, Result, Revision, Store, StoreError, Swap};

/// One value with what carries it.
#[derive(Clone, Debug)]
struct Cell {
    value: String,
    revision: Revision,
    lease: Option<LeaseId>,
}

/// A lease and when it lapses.
#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Duration,
    lapses_at: Instant,
}

#[derive(Default)]
struct State {
    cells: BTreeMap<String, Cell>,
    leases: BTreeMap<u64, Lease>,
    revision: u64,
    next_lease: u64,
}

/// Key-value service in this process's memory.
#[derive(Default)]
pub struct MemoryStore {
    state: Mutex<State>,
    changed: Condvar,
}

impl MemoryStore {
    /// Creates an empty service.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the service's write counter.
    pub fn revision(&self) -> Revision {
        Revision(self.state.lock().revision)
    }
}

impl State {
    fn drop_lapsed(&mut self) {
        let now = Instant::now();
        let lapsed: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, l)| l.lapses_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in lapsed {
            self.leases.remove(&id);
            let before = self.cells.len();
            self.cells.retain(|_, c| c.lease != Some(LeaseId(id)));
            if self.cells.len() != before {
                self.revision += 1;
            }
        }
    }

    fn entry(&self, key: &str) -> Option<Entry> {
        let cell = self.cells.get(key)?;
        Some(Entry {
            key: key.into(),
            value: cell.value.clone(),
            revision: cell.revision,
        })
    }

    fn with_prefix(&self, prefix: &str, after: Revision) -> Vec<Entry> {
        self.cells
            .range(prefix.to_owned()..)
            .take_while(|(k, _)| k.starts_with(prefix))
            .filter(|(_, c)| c.revision > after)
            .map(|(k, c)| Entry {
                key: k.clone(),
                value: c.value.clone(),
                revision: c.revision,
            })
            .collect()
    }

    fn is_at(&self, key: &str, expected: Revision) -> bool {
        self.cells.get(key).map_or(Revision::ABSENT, |c| c.revision) == expected
    }
}

impl Store for MemoryStore {
    fn get(&self, key: &str) -> Result<Option<Entry>> {
        let mut state = self.state.lock();
        state.drop_lapsed();
        Ok(state.entry(key))
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        let mut state = self.state.lock();
        state.drop_lapsed();
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
        state.drop_lapsed();
        if lease.is_some_and(|l| !state.leases.contains_key(&l.0)) {
            return Err(StoreError::Refused {
                cause: "the lease has lapsed".into(),
            });
        }
        if !state.is_at(key, expected) {
            return Ok(Swap::Conflict(state.entry(key)));
        }
        state.revision += 1;
        let revision = Revision(state.revision);
        state.cells.insert(
            key.into(),
            Cell {
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
        state.drop_lapsed();
        if !state.is_at(key, expected) {
            return Ok(Swap::Conflict(state.entry(key)));
        }
        state.cells.remove(key);
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
            state.drop_lapsed();
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
                lapses_at: Instant::now() + ttl,
            },
        );
        Ok(LeaseId(id))
    }

    fn renew_lease(&self, lease: LeaseId) -> Result<bool> {
        let mut state = self.state.lock();
        state.drop_lapsed();
        let Some(l) = state.leases.get_mut(&lease.0) else {
            return Ok(false);
        };
        l.lapses_at = Instant::now() + l.ttl;
        Ok(true)
    }
}
