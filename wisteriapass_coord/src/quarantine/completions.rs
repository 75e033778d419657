//! When fingerprints were last answered.

use std::collections::HashMap;

use super::Fingerprint;

/// When fingerprints were last answered; a limited number of them, the latest.
#[derive(Clone, Debug)]
pub(super) struct Completions {
    max: usize,
    last: HashMap<Fingerprint, i64>,
}

impl Completions {
    /// Creates an empty memory for at most `max` fingerprints.
    pub fn new(max: usize) -> Self {
        Self {
            max,
            last: HashMap::new(),
        }
    }

    /// Records a completion.
    pub fn record(&mut self, now: i64, fingerprint: Fingerprint) {
        self.last.insert(fingerprint, now);
        if self.last.len() > self.max {
            self.discard_older_half();
        }
    }

    /// Returns when a fingerprint was last answered.
    pub fn last_at(&self, fingerprint: &Fingerprint) -> Option<i64> {
        self.last.get(fingerprint).copied()
    }

    fn discard_older_half(&mut self) {
        let mut times: Vec<i64> = self.last.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let newest_discarded = *median;
        self.last.retain(|_, at| *at > newest_discarded);
    }
}
