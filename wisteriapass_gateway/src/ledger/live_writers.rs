//! Relays that wrote the share record of late.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;
use wisteriapass_coord::prepaid::{HolderId, ShareRecord};

/// Time without a new write after which a relay counts as gone, in milliseconds: six exchanges.
const RELAY_TIMEOUT_MS: u64 = 6_000;

/// Identity of a relay's last write and the time at which it was first seen.
#[derive(Clone, Copy, Debug)]
struct LastWrite {
    process: u64,
    write: u64,
    at: Instant,
}

/// The last writes of all relays, as this router saw them.
#[derive(Debug, Default)]
pub(super) struct LiveWriters {
    last_writes: HashMap<HolderId, LastWrite>,
}

impl LiveWriters {
    /// Notes the writes that a record contains.
    pub(super) fn record(&mut self, record: &ShareRecord) {
        let at = Instant::now();
        for (id, entry) in record.holder_entries() {
            let (process, write) = (entry.process, entry.write);
            let known = self.last_writes.get(id);
            if known.is_none_or(|last| (last.process, last.write) != (process, write)) {
                let last = LastWrite { process, write, at };
                self.last_writes.insert(id.clone(), last);
            }
        }
    }

    /// Returns whether a relay has a recent write.
    pub(super) fn contains(&self, id: &HolderId) -> bool {
        let timeout = Duration::from_millis(RELAY_TIMEOUT_MS);
        let last = self.last_writes.get(id);
        last.is_some_and(|last| last.at.elapsed() < timeout)
    }
}
