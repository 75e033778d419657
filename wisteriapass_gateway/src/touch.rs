//! Whether the key-value service answers this router.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Silence after which the service counts as lost, in milliseconds; watches are answered at
/// least once a second.
const LOST_MS: u64 = 1_800;

/// Times of the last answers of the service.
#[derive(Debug)]
pub struct Touch {
    last: Cell<Option<Instant>>,
    regained: Cell<Option<Instant>>,
    failed: Cell<bool>,
}

impl Touch {
    /// Creates one that was never in touch.
    pub fn new() -> Self {
        Self {
            last: Cell::new(None),
            regained: Cell::new(None),
            failed: Cell::new(false),
        }
    }

    /// Notes an answer.
    pub fn answered(&self, now: Instant) {
        let was_lost = self.last.get().is_some_and(|at| lost(at, now));
        if was_lost || self.failed.replace(false) {
            self.regained.set(Some(now));
            log::info!(target: "store", "Service answers again.");
        }
        self.last.set(Some(now));
    }

    /// Notes a call without answer.
    pub fn failed(&self) {
        if !self.failed.replace(true) {
            log::warn!(target: "store", "Service does not answer.");
        }
    }

    /// Returns when the service last came back.
    pub fn regained(&self) -> Option<Instant> {
        self.regained.get()
    }
}

impl Default for Touch {
    fn default() -> Self {
        Self::new()
    }
}

fn lost(last: Instant, now: Instant) -> bool {
    now.saturating_duration_since(last) > Duration::from_millis(LOST_MS)
}
