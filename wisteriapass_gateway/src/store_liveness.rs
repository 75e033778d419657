//! Tracks whether the key-value store answers this router.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

use crate::platform::Topic;

/// Time without answers after which the next one counts as the end of an outage, in milliseconds:
/// longer than the 1.8 s within which a watch is answered when nothing changes, and no longer than
/// an outage in which entries expire, which is two of the three heartbeats of 1.2 s that a target
/// may miss.
const OUTAGE_SILENCE_MS: u64 = 2_400;

/// Times of the latest answers and failures of the store.
#[derive(Debug, Default)]
pub struct StoreLiveness {
    last: Cell<Option<Instant>>,
    recovered_at: Cell<Option<Instant>>,
    failed: Cell<bool>,
    /// When each topic was last answered: configuration and targets.
    topics: [Cell<Option<Instant>>; 2],
}

/// Age of a topic that was never answered.
const NEVER_MS: u64 = u64::MAX / 2;

/// Additional age allowed for the configuration, in milliseconds: when nothing changes, its watch
/// is answered that much less often than that of the targets.
const CONFIGURATION_SLACK_MS: u64 = 1_800;

impl StoreLiveness {
    /// Records an answer to any call.
    ///
    /// The answer ends an outage if a call failed and none was answered for long. Neither is enough
    /// alone: a single connection may have been reset, or nothing may have changed for a while.
    pub fn record_answer(&self, now: Instant) {
        let silent = Duration::from_millis(OUTAGE_SILENCE_MS);
        let last = self.last.replace(Some(now));
        let was_silent = last.is_some_and(|last| now.saturating_duration_since(last) >= silent);
        let has_failed = self.failed.replace(false);
        // After a false detection, a target that left gets requests for two seconds longer.
        if was_silent && has_failed {
            self.recovered_at.set(Some(now));
        }
        if has_failed {
            log::info!(target: "store", "Service answers again. after_silence={was_silent}");
        }
    }

    /// Records an answer to a read or watch of a topic.
    pub fn record_topic_answer(&self, topic: Topic, now: Instant) {
        self.topics[topic as usize].set(Some(now));
        self.record_answer(now);
    }

    /// Returns the age of the watched state, in milliseconds.
    pub fn staleness_ms(&self, now: Instant) -> u64 {
        let age = |topic: Topic| {
            let at = self.topics[topic as usize].get();
            at.map_or(NEVER_MS, |at| {
                now.saturating_duration_since(at).as_millis() as u64
            })
        };
        let configuration = age(Topic::Configuration).saturating_sub(CONFIGURATION_SLACK_MS);
        configuration.max(age(Topic::Targets))
    }

    /// Records a call without an answer.
    pub fn record_failure(&self) {
        if !self.failed.replace(true) {
            log::warn!(target: "store", "Service does not answer.");
        }
    }

    /// Returns when the last outage ended.
    pub fn recovered_at(&self) -> Option<Instant> {
        self.recovered_at.get()
    }
}
