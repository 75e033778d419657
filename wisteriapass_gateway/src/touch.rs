//! Whether the key-value service answers this router.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Silence after which an answer counts as the service's return, in milliseconds: more than the
/// 1.8 s in which a watch is answered where nothing changes, and no more than an outage takes in
/// which entries lapse, two of the three heartbeats of 1.2 s that a target may miss.
const SILENT_MS: u64 = 2_400;

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
    /// It is the service's return if a call failed and none was answered for long. Either alone is
    /// not: one connection may have been reset, or nothing may have changed for a while.
    pub fn answered(&self, now: Instant) {
        let silent = Duration::from_millis(SILENT_MS);
        let last = self.last.replace(Some(now));
        let was_silent = last.is_some_and(|last| now.saturating_duration_since(last) >= silent);
        let has_failed = self.failed.replace(false);
        // Behind a false return, a target that left gets work for two seconds more.
        if was_silent && has_failed {
            self.regained.set(Some(now));
        }
        if has_failed {
            log::info!(target: "store", "Service answers again. after_silence={was_silent}");
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
