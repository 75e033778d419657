//! Requests that ran to a whole answer of late.

use std::collections::{BTreeMap, VecDeque};

use super::Fingerprint;

/// Time behind a whole answer in which a death does not count, in milliseconds: a request that runs
/// everywhere all the time is under way at whatever fails.
pub(super) const SOUND_MS: i64 = 1_000;

/// Requests that are remembered.
const MOST_SOUND: usize = 2_048;

/// When requests ran to whole answers, as long as that matters.
#[derive(Clone, Debug, Default)]
pub(super) struct Sound {
    /// The oldest first; one that ran again is in here again.
    order: VecDeque<(i64, Fingerprint)>,
    last: BTreeMap<Fingerprint, i64>,
}

impl Sound {
    /// Notes a whole answer.
    pub fn note(&mut self, now: i64, fingerprint: Fingerprint) {
        self.order.push_back((now, fingerprint));
        self.last.insert(fingerprint, now);
        let is_old = |at: i64| now - at > SOUND_MS;
        while let Some((at, oldest)) = self.order.front().copied() {
            if !is_old(at) && self.order.len() <= MOST_SOUND {
                return;
            }
            self.order.pop_front();
            if self.last.get(&oldest) == Some(&at) {
                self.last.remove(&oldest);
            }
        }
    }

    /// Returns when a request ran to a whole answer last.
    pub fn at(&self, fingerprint: &Fingerprint) -> Option<i64> {
        self.last.get(fingerprint).copied()
    }
}
