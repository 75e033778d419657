//! A store whose answers are lost, late or missing, as the test says.

#![allow(dead_code)]

use std::collections::VecDeque;
use std::time::Duration;

use parking_lot::Mutex;
use wisteriapass_coord::store::{
    Entry, LeaseId, MemoryStore, Result, Revision, Store, StoreError, Swap,
};

/// What happens to one swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapFault {
    /// It works.
    None,
    /// It takes effect and its answer is lost.
    ResponseLost,
    /// It is lost before it takes effect.
    RequestLost,
    /// It seems lost and takes effect before the next swap, if its revision still stands.
    Delayed,
    /// The service can't be reached.
    Unreachable,
}

/// A swap on its way.
struct Delayed {
    key: String,
    expected: Revision,
    value: String,
}

/// A store in memory that treats its swaps as planned.
pub struct FaultyStore {
    pub inner: MemoryStore,
    fates: Mutex<VecDeque<SwapFault>>,
    late: Mutex<Vec<Delayed>>,
    /// Whether swaps ignore the expected revision (a broken service).
    pub ignores_revision: bool,
}

impl FaultyStore {
    pub fn new() -> Self {
        Self {
            inner: MemoryStore::new(),
            fates: Mutex::default(),
            late: Mutex::default(),
            ignores_revision: false,
        }
    }

    /// Plans the fates of the next swaps; those after are fine.
    pub fn plan_faults(&self, fates: impl IntoIterator<Item = SwapFault>) {
        *self.fates.lock() = fates.into_iter().collect();
    }

    fn deliver_late(&self) {
        for d in std::mem::take(&mut *self.late.lock()) {
            let _ = self.inner.swap(&d.key, d.expected, &d.value, None);
        }
    }
}

fn unknown() -> StoreError {
    StoreError::Unknown {
        cause: "planned".into(),
    }
}

fn down() -> StoreError {
    StoreError::Unreachable {
        cause: "planned".into(),
    }
}

impl Store for FaultyStore {
    fn get(&self, key: &str) -> Result<Option<Entry>> {
        if self.fates.lock().front() == Some(&SwapFault::Unreachable) {
            self.fates.lock().pop_front();
            return Err(down());
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
        let fate = self.fates.lock().pop_front().unwrap_or(SwapFault::None);
        if fate == SwapFault::Delayed {
            self.late.lock().push(Delayed {
                key: key.into(),
                expected,
                value: value.into(),
            });
            return Err(unknown());
        }
        self.deliver_late();
        let expected = match self.inner.get(key)? {
            Some(entry) if self.ignores_revision => entry.revision,
            _ => expected,
        };
        match fate {
            SwapFault::Unreachable => Err(down()),
            SwapFault::RequestLost => Err(unknown()),
            SwapFault::ResponseLost => {
                let _ = self.inner.swap(key, expected, value, lease)?;
                Err(unknown())
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

    fn keep_lease(&self, lease: LeaseId) -> Result<bool> {
        self.inner.keep_lease(lease)
    }
}
