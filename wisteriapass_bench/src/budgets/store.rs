//! In-memory key-value store that counts calls and can be made unreachable.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use wisteriapass_coord::store::{
    Entry, LeaseId, MemoryStore, Result, Revision, Store, StoreError, Swap,
};

/// Key-value store as seen by the simulated routers.
#[derive(Default)]
pub struct CountingStore {
    inner: MemoryStore,
    is_unreachable: AtomicBool,
    reads: AtomicU64,
    writes: AtomicU64,
}

impl CountingStore {
    /// Sets whether the following calls reach the store.
    pub fn set_reachable(&self, reachable: bool) {
        self.is_unreachable.store(!reachable, Ordering::Relaxed);
    }

    /// Returns the number of `get`, `list` and `watch` calls so far.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Returns the number of `swap` and `delete` calls so far.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    /// Counts a call, or fails if the store is unreachable.
    fn begin_call(&self, counter: &AtomicU64) -> Result<()> {
        if self.is_unreachable.load(Ordering::Relaxed) {
            return Err(StoreError::Unreachable {
                cause: "simulated outage".into(),
            });
        }
        counter.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }
}

impl Store for CountingStore {
    fn get(&self, key: &str) -> Result<Option<Entry>> {
        self.begin_call(&self.reads)?;
        self.inner.get(key)
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        self.begin_call(&self.reads)?;
        self.inner.list(prefix)
    }

    fn swap(
        &self,
        key: &str,
        expected: Revision,
        value: &str,
        lease: Option<LeaseId>,
    ) -> Result<Swap> {
        self.begin_call(&self.writes)?;
        self.inner.swap(key, expected, value, lease)
    }

    fn delete(&self, key: &str, expected: Revision) -> Result<Swap> {
        self.begin_call(&self.writes)?;
        self.inner.delete(key, expected)
    }

    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<(Revision, Vec<Entry>)> {
        self.begin_call(&self.reads)?;
        self.inner.watch(prefix, after, wait)
    }

    fn grant_lease(&self, ttl: Duration) -> Result<LeaseId> {
        self.inner.grant_lease(ttl)
    }

    fn renew_lease(&self, lease: LeaseId) -> Result<bool> {
        self.inner.renew_lease(lease)
    }
}
