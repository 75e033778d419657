//! A writer's memory of its own operations.

use parking_lot::Mutex;

use crate::budget::{Batch, LedgerError, OpId, Origin, Record, Result, ShardId, Shards};
use crate::store::{Entry, Revision};

/// A record as last seen.
#[derive(Clone, Debug)]
pub(super) struct Seen {
    pub(super) revision: Revision,
    pub(super) record: Record,
}

impl Seen {
    /// Reads a record from an entry of the service; no entry is an empty record.
    pub(super) fn parse(shard: ShardId, entry: Option<Entry>) -> Result<Self> {
        let Some(entry) = entry else {
            return Ok(Self {
                revision: Revision::ABSENT,
                record: Record::new(),
            });
        };
        let record = serde_json::from_str(&entry.value).map_err(|e| LedgerError::Corrupt {
            key: shard.key(),
            cause: e.to_string(),
        })?;
        Ok(Self {
            revision: entry.revision,
            record,
        })
    }
}

/// What the writer did on one record.
#[derive(Debug, Default)]
pub(super) struct Slot {
    /// Number of the last operation that took effect.
    pub(super) seq: u64,
    /// An operation whose answer was lost; it is repeated unchanged until its end is known.
    pub(super) pending: Option<Batch>,
    /// The record as a lost race showed it, which spares a read.
    ///
    /// What this writer wrote last is not kept: with several routers it is old by the next write,
    /// and a lost race costs a write, of which the service has fewer than reads.
    pub(super) seen: Option<Seen>,
}

/// Operations of one incarnation: running numbers, and those whose answers were lost.
///
/// It lives as long as the incarnation; [`crate::budget::Ledger`]s are made from it as needed.
#[derive(Debug)]
pub struct Journal {
    writer: Origin,
    shards: Shards,
    slots: Vec<Mutex<Slot>>,
}

impl Journal {
    /// Creates the memory of a new incarnation, which no other process may use.
    pub fn new(writer: Origin, shards: Shards) -> Self {
        Self {
            writer,
            shards,
            slots: shards.all().map(|_| Mutex::default()).collect(),
        }
    }

    /// Returns the incarnation.
    pub fn writer(&self) -> Origin {
        self.writer
    }

    /// Returns how budgets are spread over records.
    pub fn shards(&self) -> Shards {
        self.shards
    }

    /// Returns whether an operation's answer is still missing.
    pub fn has_pending(&self) -> bool {
        self.slots.iter().any(|s| s.lock().pending.is_some())
    }

    pub(super) fn slot(&self, shard: ShardId) -> &Mutex<Slot> {
        &self.slots[shard.0 as usize]
    }

    pub(super) fn op(&self, seq: u64) -> OpId {
        OpId {
            writer: self.writer,
            seq,
        }
    }
}
