//! Which record holds which budget.

use std::hash::Hasher;

use derive_more::Display;
use twox_hash::XxHash64;

use crate::budget::BudgetId;

/// Seed of the hash; changing it moves every budget.
const SEED: u64 = 0;

/// Number of a record.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u32);

impl ShardId {
    /// Returns the record's key in the service.
    pub fn key(self) -> String {
        format!("budgets/{}", self.0)
    }
}

/// Records of a fleet, which daemons and tool must agree on.
///
/// A record takes one write at a time, so there are several; all are read to show the budgets, so
/// there are not many.
const FLEET_COUNT: u32 = 16;

/// How many records the budgets are spread over; the same everywhere and for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shards {
    count: u32,
}

impl Default for Shards {
    /// Spreads budgets as every process of a fleet does.
    fn default() -> Self {
        Self::new(FLEET_COUNT)
    }
}

impl Shards {
    /// Spreads budgets over `count` records, at least one.
    pub fn new(count: u32) -> Self {
        Self {
            count: count.max(1),
        }
    }

    /// Returns the record that holds a budget.
    pub fn shard_of(self, budget: &BudgetId) -> ShardId {
        let mut hasher = XxHash64::with_seed(SEED);
        hasher.write(budget.as_str().as_bytes());
        let shard = hasher.finish() % u64::from(self.count);
        ShardId(shard as u32)
    }

    /// Returns all records.
    pub fn all(self) -> impl Iterator<Item = ShardId> {
        (0..self.count).map(ShardId)
    }
}
