//! Shared prompt parts that a target read of late.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

/// Time for which a part counts as kept after its last use, in milliseconds: engines forget what
/// was used least recently, which a router cannot see; within some seconds it is most likely there.
const RETENTION_MS: u64 = 8_000;

/// Parts that are remembered before the old ones are looked through.
const PRUNE_LEN: usize = 512;

/// Parts by id, with their last use.
#[derive(Debug, Default)]
pub struct CachedParts {
    parts: HashMap<u64, Instant>,
}

impl CachedParts {
    /// Notes that a part is being read.
    pub fn insert(&mut self, part: u64, now: Instant) {
        if self.parts.len() >= PRUNE_LEN {
            self.parts.retain(|_, at| is_recent(*at, now));
        }
        self.parts.insert(part, now);
    }

    /// Returns whether a part is most likely there.
    pub fn contains(&self, part: u64, now: Instant) -> bool {
        self.parts.get(&part).is_some_and(|at| is_recent(*at, now))
    }
}

fn is_recent(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < Duration::from_millis(RETENTION_MS)
}
