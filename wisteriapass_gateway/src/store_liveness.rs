//! Whether the key-value service answers this router.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

use crate::platform::Topic;

/// Silence after which an answer counts as the service's return, in milliseconds: more than the
/// 1.8 s in which a watch is answered where nothing changes, and no more than an outage takes in
/// which entries lapse, two of the three heartbeats of 1.2 s that a target may miss.
const OUTAGE_SILENCE_MS: u64 = 2_400;

/// Times of the last answers of the service.
#[derive(Debug, Default)]
pub struct StoreLiveness {
    last: Cell<Option<Instant>>,
    recovered_at: Cell<Option<Instant>>,
    failed: Cell<bool>,
    /// When each topic was answered last: configuration and targets.
    topics: [Cell<Option<Instant>>; 2],
}

/// Age of news that are older than any.
const NEVER_MS: u64 = u64::MAX / 2;

/// Time that the configuration may go without an answer beyond the targets, in milliseconds: where
/// nothing changes, its watch is answered so much more seldom.
const CONFIGURATION_SLACK_MS: u64 = 1_800;

impl StoreLiveness {
    /// Notes an answer to any call.
    ///
    /// It is the service's return if a call failed and none was answered for long. Either alone is
    /// not: one connection may have been reset, or nothing may have changed for a while.
    pub fn record_answer(&self, now: Instant) {
        let silent = Duration::from_millis(OUTAGE_SILENCE_MS);
        let last = self.last.replace(Some(now));
        let was_silent = last.is_some_and(|last| now.saturating_duration_since(last) >= silent);
        let has_failed = self.failed.replace(false);
        // Behind a false return, a target that left gets work for two seconds more.
        if was_silent && has_failed {
            self.recovered_at.set(Some(now));
        }
        if has_failed {
            log::info!(target: "store", "Service answers again. after_silence={was_silent}");
        }
    }

    /// Notes an answer to a call that follows a topic.
    pub fn record_topic_answer(&self, topic: Topic, now: Instant) {
        self.topics[topic as usize].set(Some(now));
        self.record_answer(now);
    }

    /// Returns how old what is followed is, in milliseconds.
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

    /// Notes a call without answer.
    pub fn record_failure(&self) {
        if !self.failed.replace(true) {
            log::warn!(target: "store", "Service does not answer.");
        }
    }

    /// Returns when the service last came back.
    pub fn recovered_at(&self) -> Option<Instant> {
        self.recovered_at.get()
    }
}
