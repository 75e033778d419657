//! Counters of calls to the key-value service.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

use super::calls::Kind;

/// How often each kind of call was made, failed ones included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Calls of `get` and `list`.
    pub reads: u64,
    /// Calls of `swap`, deletes included.
    pub writes: u64,
    /// Calls of `watch`.
    pub watches: u64,
    /// Calls of `lease/grant` and `lease/keep`.
    pub leases: u64,
}

/// The counters behind [`CallCounts`].
#[derive(Default)]
pub(super) struct Counters {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    leases: AtomicU64,
}

impl Counters {
    /// Counts one call.
    pub fn count(&self, kind: Kind) {
        let counter = match kind {
            Kind::Get | Kind::List => &self.reads,
            Kind::Swap => &self.writes,
            Kind::Watch => &self.watches,
            Kind::GrantLease | Kind::KeepLease => &self.leases,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the counts so far.
    pub fn read(&self) -> CallCounts {
        CallCounts {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
            leases: self.leases.load(Ordering::Relaxed),
        }
    }
}
