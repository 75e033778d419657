//! Requests that completed recently.

use std::collections::{BTreeMap, VecDeque};

use super::Fingerprint;

/// Time after a complete answer in which a death doesn't count against the request, in milliseconds:
/// a request that is constantly in flight everywhere is also in flight at any target that fails.
pub(super) const COMPLETION_GRACE_MS: i64 = 1_000;

/// Maximum number of remembered completions.
const MAX_COMPLETIONS: usize = 2_048;

/// When requests last completed, for as long as that matters.
#[derive(Clone, Debug, Default)]
pub(super) struct Completions {
    /// The oldest first; a request that completed repeatedly has an item for each completion.
    order: VecDeque<(i64, Fingerprint)>,
    last: BTreeMap<Fingerprint, i64>,
}

impl Completions {
    /// Records a completion.
    pub fn record(&mut self, now: i64, fingerprint: Fingerprint) {
        self.order.push_back((now, fingerprint));
        self.last.insert(fingerprint, now);
        let is_old = |at: i64| now - at > COMPLETION_GRACE_MS;
        while let Some((at, oldest)) = self.order.front().copied() {
            if !is_old(at) && self.order.len() <= MAX_COMPLETIONS {
                return;
            }
            self.order.pop_front();
            if self.last.get(&oldest) == Some(&at) {
                self.last.remove(&oldest);
            }
        }
    }

    /// Returns when a request last completed.
    pub fn last_at(&self, fingerprint: &Fingerprint) -> Option<i64> {
        self.last.get(fingerprint).copied()
    }
}
