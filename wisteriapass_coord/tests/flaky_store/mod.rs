//! Key-value store for tests, with lost responses, outages and racing writers.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use parking_lot::Mutex;

use wisteriapass_coord::store::{
    Entry, LeaseId, MemoryStore, Result, Revision, Store, StoreError, Swap,
};

/// Racing writer, called during the next write.
pub type Race = Box<dyn FnOnce(&MemoryStore) + Send>;

/// [`MemoryStore`] with injected faults.
#[derive(Default)]
pub struct FlakyStore {
    inner: MemoryStore,
    is_down: AtomicBool,
    loses_next_response: AtomicBool,
    race: Mutex<Option<Race>>,
}

#[allow(dead_code)]
impl FlakyStore {
    /// Starts or ends an outage.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
    }

    /// Loses the response of the next write; the write takes effect.
    pub fn lose_next_answer(&self) {
        self.loses_next_response.store(true, Ordering::Relaxed);
    }

    /// Runs `race` after the next write took effect or was refused, before its response.
    pub fn race_next(&self, race: Race) {
        *self.race.lock() = Some(race);
    }

    fn check_reachable(&self) -> Result<()> {
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
        self.check_reachable()?;
        self.inner.get(key)
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        self.check_reachable()?;
        self.inner.list(prefix)
    }

    fn swap(
        &self,
        key: &str,
        expected: Revision,
        value: &str,
        lease: Option<LeaseId>,
    ) -> Result<Swap> {
        self.check_reachable()?;
        let swapped = self.inner.swap(key, expected, value, lease);
        if let Some(race) = self.race.lock().take() {
            race(&self.inner);
        }
        if self.loses_next_response.swap(false, Ordering::Relaxed) {
            return Err(StoreError::Unknown {
                cause: "response lost".into(),
            });
        }
        swapped
    }

    fn delete(&self, key: &str, expected: Revision) -> Result<Swap> {
        self.check_reachable()?;
        self.inner.delete(key, expected)
    }

    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<(Revision, Vec<Entry>)> {
        self.check_reachable()?;
        self.inner.watch(prefix, after, wait)
    }

    fn grant_lease(&self, ttl: Duration) -> Result<LeaseId> {
        self.check_reachable()?;
        self.inner.grant_lease(ttl)
    }

    fn renew_lease(&self, lease: LeaseId) -> Result<bool> {
        self.check_reachable()?;
        self.inner.renew_lease(lease)
    }
}
