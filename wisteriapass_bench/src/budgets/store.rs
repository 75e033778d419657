//! A key-value service in memory that counts its calls and can be out of reach.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use wisteriapass_coord::store::{
    Entry, LeaseId, MemoryStore, Result, Revision, Store, StoreError, Swap,
};

/// The service as the players see it.
#[derive(Default)]
pub struct CountingStore {
    inner: MemoryStore,
    is_away: AtomicBool,
    reads: AtomicU64,
    writes: AtomicU64,
}

impl CountingStore {
    /// Puts the service within reach of whoever calls next, or out of it.
    pub fn set_reachable(&self, reachable: bool) {
        self.is_away.store(!reachable, Ordering::Relaxed);
    }

    /// Returns the calls of `get` and `list` so far.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Returns the calls of `swap` and `delete` so far.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    fn count(&self, counter: &AtomicU64) -> Result<()> {
        if self.is_away.load(Ordering::Relaxed) {
            return Err(StoreError::Unreachable {
                cause: "played".into(),
            });
        }
        counter.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }
}

impl Store for CountingStore {
    fn get(&self, key: &str) -> Result<Option<Entry>> {
        self.count(&self.reads)?;
        self.inner.get(key)
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        self.count(&self.reads)?;
        self.inner.list(prefix)
    }

    fn swap(
        &self,
        key: &str,
        expected: Revision,
        value: &str,
        lease: Option<LeaseId>,
    ) -> Result<Swap> {
        self.count(&self.writes)?;
        self.inner.swap(key, expected, value, lease)
    }

    fn delete(&self, key: &str, expected: Revision) -> Result<Swap> {
        self.count(&self.writes)?;
        self.inner.delete(key, expected)
    }

    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<(Revision, Vec<Entry>)> {
        self.count(&self.reads)?;
        self.inner.watch(prefix, after, wait)
    }

    fn grant_lease(&self, ttl: Duration) -> Result<LeaseId> {
        self.inner.grant_lease(ttl)
    }

    fn renew_lease(&self, lease: LeaseId) -> Result<bool> {
        self.inner.renew_lease(lease)
    }
}
