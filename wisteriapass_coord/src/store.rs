//! Interface to the platform's key-value service.

mod entry;
mod error;
mod http;
mod memory;
pub mod wire;

use std::time::Duration;

pub use entry::{Entry, LeaseId, Revision};
pub use error::{Result, StoreError};
pub use http::HttpStore;
pub use memory::MemoryStore;

/// Outcome of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The write took effect at this revision.
    Done(Revision),
    /// The key was not at the expected revision; this is its current entry.
    Conflict(Option<Entry>),
}

/// Key-value service with compare-and-swap, leases and watches.
///
/// Each call counts against the rate limit of the service; a blocking watch counts as one call. A
/// call that fails with [`StoreError::Unknown`] may have taken effect: read the key again and look
/// for the operation id.
pub trait Store: Send + Sync {
    /// Reads one key.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the call failed.
    fn get(&self, key: &str) -> Result<Option<Entry>>;

    /// Reads all keys that start with `prefix`, sorted by key.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the call failed.
    fn list(&self, prefix: &str) -> Result<Vec<Entry>>;

    /// Writes `value` if the key is at revision `expected` ([`Revision::ABSENT`] if it must not
    /// exist). With a lease, the key is deleted when the lease expires.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the call failed; the write may have taken effect.
    fn swap(
        &self,
        key: &str,
        expected: Revision,
        value: &str,
        lease: Option<LeaseId>,
    ) -> Result<Swap>;

    /// Deletes the key if it is at revision `expected`.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the call failed; the delete may have taken effect.
    fn delete(&self, key: &str, expected: Revision) -> Result<Swap>;

    /// Waits for at most `wait` until a key with this prefix changes after revision `after`.
    /// Returns the revision of the service and the entries changed since `after`, none on timeout.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the call failed.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<(Revision, Vec<Entry>)>;

    /// Grants a lease that expires after `ttl` unless it is renewed.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the call failed.
    fn grant_lease(&self, ttl: Duration) -> Result<LeaseId>;

    /// Renews a lease for its full term; returns `false` if it had expired.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the call failed.
    fn renew_lease(&self, lease: LeaseId) -> Result<bool>;
}
