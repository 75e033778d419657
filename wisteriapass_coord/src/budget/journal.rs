//! Operations of a writer: sequence numbers and operations without a response.

use parking_lot::Mutex;

use crate::budget::{Batch, LedgerError, OpId, Origin, Record, Result, ShardId, Shards};
use crate::store::{Entry, Revision};

/// A record as last read.
#[derive(Clone, Debug)]
pub(super) struct Snapshot {
    pub(super) revision: Revision,
    pub(super) record: Record,
}

impl Snapshot {
    /// Parses the record of a store entry; a missing entry is an empty record.
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

/// State of the writer on one record.
#[derive(Debug, Default)]
pub(super) struct ShardState {
    /// Sequence number of the last operation that took effect.
    pub(super) seq: u64,
    /// Operation whose response was lost; it is repeated unchanged until its result is known.
    pub(super) pending: Option<Batch>,
    /// The record as returned by a conflicting swap, which saves a read.
    ///
    /// The record that this writer wrote last is not cached: with several routers it is outdated by
    /// the next write, and a conflict costs a write, of which the store allows fewer than reads.
    pub(super) cached: Option<Snapshot>,
}

/// Operations of one incarnation: the sequence numbers, and operations whose responses were lost.
///
/// It is kept for the lifetime of the incarnation; [`crate::budget::Ledger`]s are created from it
/// as needed.
#[derive(Debug)]
pub struct Journal {
    writer: Origin,
    shards: Shards,
    states: Vec<Mutex<ShardState>>,
}

impl Journal {
    /// Creates the journal of a new incarnation, which no other process may use.
    pub fn new(writer: Origin, shards: Shards) -> Self {
        Self {
            writer,
            shards,
            states: shards.all().map(|_| Mutex::default()).collect(),
        }
    }

    /// Returns the incarnation of the writer.
    pub fn writer(&self) -> Origin {
        self.writer
    }

    /// Returns the assignment of budgets to records.
    pub fn shards(&self) -> Shards {
        self.shards
    }

    /// Returns whether an operation has no response yet.
    pub fn has_pending(&self) -> bool {
        self.states.iter().any(|s| s.lock().pending.is_some())
    }

    pub(super) fn state(&self, shard: ShardId) -> &Mutex<ShardState> {
        &self.states[shard.0 as usize]
    }

    pub(super) fn op(&self, seq: u64) -> OpId {
        OpId {
            writer: self.writer,
            seq,
        }
    }
}
