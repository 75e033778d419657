//! Counters of the calls to the key-value service.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

use super::calls::CallKind;

/// Number of calls of each kind, including failed calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Calls of `get` and `list`.
    pub reads: u64,
    /// Calls of `swap`, including deletes.
    pub writes: u64,
    /// Calls of `watch`.
    pub watches: u64,
    /// Calls of `lease/grant` and `lease/keep`.
    pub leases: u64,
}

/// Counters from which [`CallCounts`] are read.
#[derive(Default)]
pub(super) struct Counters {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    leases: AtomicU64,
}

impl Counters {
    /// Counts one call.
    pub fn count(&self, kind: CallKind) {
        let counter = match kind {
            CallKind::Get | CallKind::List => &self.reads,
            CallKind::Swap => &self.writes,
            CallKind::Watch => &self.watches,
            CallKind::GrantLease | CallKind::KeepLease => &self.leases,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the current counts.
    pub fn snapshot(&self) -> CallCounts {
        CallCounts {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
            leases: self.leases.load(Ordering::Relaxed),
        }
    }
}
