//! Store for tests whose swaps fail as planned: lost, delayed or unreachable.

#![allow(dead_code)]

use std::collections::VecDeque;
use std::time::Duration;

use parking_lot::Mutex;
use wisteriapass_coord::store::{
    Entry, LeaseId, MemoryStore, Result, Revision, Store, StoreError, Swap,
};

/// Fault injected into one swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapFault {
    /// The swap succeeds.
    None,
    /// The swap takes effect, but its response is lost.
    ResponseLost,
    /// The request is lost before it takes effect.
    RequestLost,
    /// The response is lost, and the swap takes effect before the next one if its expected revision
    /// is still current.
    Delayed,
    /// The store is unreachable.
    Unreachable,
}

/// A swap that has not been delivered yet.
struct DelayedSwap {
    key: String,
    expected: Revision,
    value: String,
}

/// In-memory store that injects the planned faults.
pub struct FaultyStore {
    pub inner: MemoryStore,
    faults: Mutex<VecDeque<SwapFault>>,
    delayed: Mutex<Vec<DelayedSwap>>,
    /// Whether swaps ignore the expected revision, as a broken store would.
    pub ignores_revision: bool,
}

impl FaultyStore {
    pub fn new() -> Self {
        Self {
            inner: MemoryStore::new(),
            faults: Mutex::default(),
            delayed: Mutex::default(),
            ignores_revision: false,
        }
    }

    /// Plans the faults of the next swaps; later swaps succeed.
    pub fn plan_faults(&self, faults: impl IntoIterator<Item = SwapFault>) {
        *self.faults.lock() = faults.into_iter().collect();
    }

    fn deliver_delayed(&self) {
        for d in std::mem::take(&mut *self.delayed.lock()) {
            let _ = self.inner.swap(&d.key, d.expected, &d.value, None);
        }
    }
}

fn unknown_outcome() -> StoreError {
    StoreError::Unknown {
        cause: "planned fault".into(),
    }
}

fn unreachable() -> StoreError {
    StoreError::Unreachable {
        cause: "planned fault".into(),
    }
}

impl Store for FaultyStore {
    fn get(&self, key: &str) -> Result<Option<Entry>> {
        if self.faults.lock().front() == Some(&SwapFault::Unreachable) {
            self.faults.lock().pop_front();
            return Err(unreachable());
        }
        self.inner.get(key)
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        self.inner.list(prefix)
    }

    fn swap(
        &self,
        key: &str,
        expected: Revision,
        value: &str,
        lease: Option<LeaseId>,
    ) -> Result<Swap> {
        let fault = self.faults.lock().pop_front().unwrap_or(SwapFault::None);
        if fault == SwapFault::Delayed {
            self.delayed.lock().push(DelayedSwap {
                key: key.into(),
                expected,
                value: value.into(),
            });
            return Err(unknown_outcome());
        }
        self.deliver_delayed();
        let expected = match self.inner.get(key)? {
            Some(entry) if self.ignores_revision => entry.revision,
            _ => expected,
        };
        match fault {
            SwapFault::Unreachable => Err(unreachable()),
            SwapFault::RequestLost => Err(unknown_outcome()),
            SwapFault::ResponseLost => {
                let _ = self.inner.swap(key, expected, value, lease)?;
                Err(unknown_outcome())
            }
            SwapFault::None | SwapFault::Delayed => self.inner.swap(key, expected, value, lease),
        }
    }

    fn delete(&self, key: &str, expected: Revision) -> Result<Swap> {
        self.inner.delete(key, expected)
    }

    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<(Revision, Vec<Entry>)> {
        self.inner.watch(prefix, after, wait)
    }

    fn grant_lease(&self, ttl: Duration) -> Result<LeaseId> {
        self.inner.grant_lease(ttl)
    }

    fn renew_lease(&self, lease: LeaseId) -> Result<bool> {
        self.inner.renew_lease(lease)
    }
}
