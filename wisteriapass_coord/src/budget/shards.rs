//! Assignment of budgets to records.

use std::hash::Hasher;

use derive_more::Display;
use twox_hash::XxHash64;

use crate::budget::BudgetId;

/// Seed of the hash; changing it moves budgets to other records.
const HASH_SEED: u64 = 0;

/// Number of the record that holds a shard of the budgets.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u32);

impl ShardId {
    /// Returns the key of the record in the store.
    pub fn key(self) -> String {
        format!("budgets/{}", self.0)
    }
}

/// Default number of records, which all daemons and the command-line tool must agree on.
///
/// A record takes one write at a time, so there are several. Showing the budgets reads all of them,
/// so there are not many.
const DEFAULT_COUNT: u32 = 16;

/// Number of records that the budgets are distributed over. It is the same in all processes and
/// never changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shards {
    count: u32,
}

impl Default for Shards {
    /// Distributes budgets over the default number of records, as all processes of a fleet do.
    fn default() -> Self {
        Self::new(DEFAULT_COUNT)
    }
}

impl Shards {
    /// Distributes budgets over `count` records, at least one.
    pub fn new(count: u32) -> Self {
        Self {
            count: count.max(1),
        }
    }

    /// Returns the record that holds a budget.
    pub fn shard_of(self, budget: &BudgetId) -> ShardId {
        let mut hasher = XxHash64::with_seed(HASH_SEED);
        hasher.write(budget.as_str().as_bytes());
        let shard = hasher.finish() % u64::from(self.count);
        ShardId(shard as u32)
    }

    /// Returns all records.
    pub fn all(self) -> impl Iterator<Item = ShardId> {
        (0..self.count).map(ShardId)
    }
}
