//! A key-value service whose answers get lost and which has outages, for tests.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use parking_lot::Mutex;

use wisteriapass_coord::store::{
    Entry, LeaseId, MemoryStore, Result, Revision, Store, StoreError, Swap,
};

/// Called in the middle of the next write, as a racing writer.
pub type Race = Box<dyn FnOnce(&MemoryStore) + Send>;

/// [`MemoryStore`] with faults.
#[derive(Default)]
pub struct FlakyStore {
    inner: MemoryStore,
    is_down: AtomicBool,
    loses_next: AtomicBool,
    race: Mutex<Option<Race>>,
}

#[allow(dead_code)]
impl FlakyStore {
    /// Starts or ends an outage.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
    }

    /// Loses the answer of the next write, which takes effect.
    pub fn lose_next_answer(&self) {
        self.loses_next.store(true, Ordering::Relaxed);
    }

    /// Runs `race` after the next write took effect or was refused, before its answer.
    pub fn race_next(&self, race: Race) {
        *self.race.lock() = Some(race);
    }

    fn check(&self) -> Result<()> {
        if self.is_down.load(Ordering::Relaxed) {
            return Err(StoreError::Unreachable {
                cause: "outage".into(),
            });
        }
        Ok(())
    }
}

impl Store for FlakyStore {
    fn get(&self, key: &str) -> Result<Option<Entry>> {
        self.check()?;
        self.inner.get(key)
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        self.check()?;
        self.inner.list(prefix)
    }

    fn swap(
        &self,
        key: &str,
        expected: Revision,
        value: &str,
        lease: Option<LeaseId>,
    ) -> Result<Swap> {
        self.check()?;
        let swapped = self.inner.swap(key, expected, value, lease);
        if let Some(race) = self.race.lock().take() {
            race(&self.inner);
        }
        if self.loses_next.swap(false, Ordering::Relaxed) {
            return Err(StoreError::Unknown {
                cause: "answer lost".into(),
            });
        }
        swapped
    }

    fn delete(&self, key: &str, expected: Revision) -> Result<Swap> {
        self.check()?;
        self.inner.delete(key, expected)
    }

    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<(Revision, Vec<Entry>)> {
        self.check()?;
        self.inner.watch(prefix, after, wait)
    }

    fn grant_lease(&self, ttl: Duration) -> Result<LeaseId> {
        self.check()?;
        self.inner.grant_lease(ttl)
    }

    fn keep_lease(&self, lease: LeaseId) -> Result<bool> {
        self.check()?;
        self.inner.keep_lease(lease)
    }
}
