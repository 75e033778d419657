//! Shared prompt parts that are probably in a target's prefix cache.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

/// Time for which a part counts as cached after its last use, in milliseconds. Engines evict the
/// least recently used parts, which a router cannot observe; within some seconds the part is most
/// likely still cached.
const RETENTION_MS: u64 = 8_000;

/// Number of parts from which an insertion removes the old ones.
const PRUNE_LEN: usize = 512;

/// Parts by id, with the time of their last use.
#[derive(Debug, Default)]
pub struct CachedParts {
    parts: HashMap<u64, Instant>,
}

impl CachedParts {
    /// Records that a part is being prefilled.
    pub fn insert(&mut self, part: u64, now: Instant) {
        if self.parts.len() >= PRUNE_LEN {
            self.parts.retain(|_, at| is_recent(*at, now));
        }
        self.parts.insert(part, now);
    }

    /// Returns whether a part is most likely cached.
    pub fn contains(&self, part: u64, now: Instant) -> bool {
        self.parts.get(&part).is_some_and(|at| is_recent(*at, now))
    }
}

fn is_recent(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < Duration::from_millis(RETENTION_MS)
}
