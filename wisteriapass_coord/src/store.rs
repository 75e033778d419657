//! The platform's key-value service as the coordination parts see it.

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

/// Outcome of a compare-and-swap that the service answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The write took effect at this revision.
    Done(Revision),
    /// The key was not at the expected revision; it holds this now.
    Conflict(Option<Entry>),
}

/// The key-value service: compare-and-swap, leases and watches.
///
/// Every call counts against the service's rate, a waiting watch as one. A call that ends in
/// [`StoreError::Unknown`] may have taken effect; reread and look for the operation id.
pub trait Store: Send + Sync {
    /// Reads one key.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the service gave no answer.
    fn get(&self, key: &str) -> Result<Option<Entry>>;

    /// Reads all keys that start with `prefix`, in key order.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the service gave no answer.
    fn list(&self, prefix: &str) -> Result<Vec<Entry>>;

    /// Writes `value` if the key is at revision `expected` ([`Revision::ABSENT`]: does not exist).
    /// With a lease, the key goes when the lease lapses.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the service gave no answer; the write may have taken effect.
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
    /// [`StoreError`] if the service gave no answer; the delete may have taken effect.
    fn delete(&self, key: &str, expected: Revision) -> Result<Swap>;

    /// Waits until a key with this prefix changes past `after`, at most for `wait`, and returns
    /// the entries changed since (empty on timeout) with the service's revision.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the service gave no answer.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<(Revision, Vec<Entry>)>;

    /// Takes a lease that lapses unless kept.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the service gave no answer.
    fn grant_lease(&self, ttl: Duration) -> Result<LeaseId>;

    /// Keeps a lease for another of its terms; `false` if it had lapsed.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the service gave no answer.
    fn renew_lease(&self, lease: LeaseId) -> Result<bool>;
}
