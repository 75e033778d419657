//! Whether the key-value service answers this router.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Silence after which an answer counts as the service's return, in milliseconds: watches are
/// answered at least once a second, and entries need longer than that to lapse.
const SILENT_MS: u64 = 1_500;

/// Times of the last answers of the service.
#[derive(Debug, Default)]
pub struct Touch {
    last: Cell<Option<Instant>>,
    regained: Cell<Option<Instant>>,
    failed: Cell<bool>,
}

impl Touch {
    /// Notes an answer to any call.
    ///
    /// One call's failure does not make the next answer a return: others may have been answered.
    pub fn answered(&self, now: Instant) {
        let silent = Duration::from_millis(SILENT_MS);
        let last = self.last.replace(Some(now));
        if last.is_some_and(|last| now.saturating_duration_since(last) >= silent) {
            self.regained.set(Some(now));
        }
        if self.failed.replace(false) {
            log::info!(target: "store", "Service answers again.");
        }
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
