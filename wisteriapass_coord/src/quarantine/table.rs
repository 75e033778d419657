//! The table of fingerprints that were in flight at targets that died.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use super::clearance::Clearance;
use super::completions::Completions;
use super::death::Death;
use super::death_history::DeathHistory;
use super::{
    Cursor, DEATHS_TO_BAN, Fingerprint, FingerprintDeaths, Incarnation, MAX_FINGERPRINTS,
    MAX_FINGERPRINTS_PER_DELTA, QuarantineDelta,
};

/// Age at which it is decided whether a death was part of a mass failure, in milliseconds: messages
/// from all routers have arrived by then.
const CLASSIFICATION_AGE_MS: i64 = 10_000;

/// Minimum time between two maintenance runs, in milliseconds.
const MAINTENANCE_INTERVAL_MS: u64 = 500;

/// Maximum number of deaths that are classified in one maintenance run.
const MAX_CLASSIFIED_PER_RUN: usize = 64;

/// Maximum number of requests of which it is remembered when they completed.
const MAX_COMPLETED_REQUESTS: usize = 2_048;

/// Maximum number of prompt parts of which it is remembered when they were answered.
const MAX_ANSWERED_PARTS: usize = 8_192;

/// The fingerprints that were in flight at targets that died, as one process knows them.
#[derive(Clone, Debug)]
pub struct Quarantine {
    process: u64,
    seq: u64,
    maintained_at: u64,
    pub(super) histories: BTreeMap<Fingerprint, DeathHistory>,
    completed_requests: Completions,
    answered_parts: Completions,
}

impl Quarantine {
    /// Creates the empty table of a process; `process` differs for each start.
    pub fn new(process: u64) -> Self {
        Self {
            process,
            seq: 0,
            maintained_at: 0,
            histories: BTreeMap::new(),
            completed_requests: Completions::new(MAX_COMPLETED_REQUESTS),
            answered_parts: Completions::new(MAX_ANSWERED_PARTS),
        }
    }

    /// Returns whether the table has no fingerprints.
    pub fn is_empty(&self) -> bool {
        self.histories.is_empty()
    }

    /// Returns the number of fingerprints in the table.
    pub fn len(&self) -> usize {
        self.histories.len()
    }

    /// Returns the current position in the change sequence.
    pub fn cursor(&self) -> Cursor {
        Cursor {
            process: self.process,
            seq: self.seq,
        }
    }

    /// Records that a target died with the fingerprint in flight; returns whether this changes anything
    /// worth reporting.
    pub fn record_death(
        &mut self,
        now: u64,
        fingerprint: Fingerprint,
        incarnation: Incarnation,
    ) -> bool {
        self.maintain(now);
        let death = Death {
            at: now as i64,
            incarnation,
            is_excluded: false,
            is_classified: false,
        };
        let clearance = self.clearance(&fingerprint);
        let known = self.histories.entry(fingerprint);
        let history = known.or_insert_with(|| DeathHistory::new(clearance));
        let has_changed = history.add(death);
        if has_changed {
            self.record_change(fingerprint);
        }
        self.evict(now);
        has_changed
    }

    /// Records that a request completed; returns whether this changes which deaths count against it.
    pub fn record_completion(&mut self, now: u64, request: Fingerprint) -> bool {
        self.completed_requests.record(now as i64, request);
        self.clear(request, Clearance::of_request(now as i64))
    }

    /// Records that a target wrote an answer to a prompt with a part, and lives; returns whether this
    /// changes which deaths count against the part.
    pub fn record_answer(&mut self, now: u64, part: Fingerprint) -> bool {
        self.answered_parts.record(now as i64, part);
        self.clear(part, Clearance::of_prompt_part(now as i64))
    }

    /// Returns the targets that died with a fingerprint in flight, the earliest first.
    pub fn targets(&self, fingerprint: &Fingerprint) -> SmallVec<[Incarnation; 4]> {
        let known = self.histories.get(fingerprint).into_iter();
        known
            .flat_map(|h| h.deaths().map(|d| d.incarnation))
            .collect()
    }

    /// Returns the changes after a cursor; all of them if the cursor belongs to another table.
    pub fn delta_since(&self, cursor: Cursor, now: u64) -> QuarantineDelta {
        let is_own = cursor.process == self.process;
        let seq = if is_own { cursor.seq } else { 0 };
        let changed = self.histories.iter().filter(|(_, h)| h.seq > seq);
        let mut changed: Vec<_> = changed.collect();
        changed.sort_by_key(|(_, h)| h.seq);
        let has_more = changed.len() > MAX_FINGERPRINTS_PER_DELTA;
        changed.truncate(MAX_FINGERPRINTS_PER_DELTA);
        let last = changed.last().map_or(self.seq, |(_, h)| h.seq);
        let histories = changed
            .into_iter()
            .map(|(fingerprint, h)| FingerprintDeaths {
                fingerprint: *fingerprint,
                deaths: h.to_records(now as i64),
            });
        QuarantineDelta {
            histories: histories.collect(),
            cursor: Cursor {
                process: self.process,
                seq: if has_more { last } else { self.seq },
            },
            has_more,
        }
    }

    /// Merges changes from another table; returns whether this changes anything worth reporting.
    pub fn merge(&mut self, now: u64, delta: &QuarantineDelta) -> bool {
        self.maintain(now);
        let mut has_changed = false;
        for received in delta.histories.iter().take(MAX_FINGERPRINTS_PER_DELTA) {
            has_changed |= self.merge_history(now, received);
        }
        self.evict(now);
        has_changed
    }

    /// Classifies deaths by whether they were part of a mass failure, and discards old ones; has to be
    /// called periodically, even when nothing happens.
    pub fn maintain(&mut self, now: u64) {
        if now < self.maintained_at + MAINTENANCE_INTERVAL_MS {
            return;
        }
        self.maintained_at = now;
        for (fingerprint, incarnation, is_mass) in self.classify_due(now as i64) {
            let known = self.histories.get_mut(&fingerprint);
            if known.is_some_and(|h| h.classify(incarnation, is_mass)) {
                self.record_change(fingerprint);
            }
        }
        self.histories.retain(|_, h| h.expire(now as i64));
    }

    /// Returns what earlier answers to a fingerprint excuse.
    fn clearance(&self, fingerprint: &Fingerprint) -> Clearance {
        if let Some(at) = self.answered_parts.last_at(fingerprint) {
            return Clearance::of_prompt_part(at);
        }
        let completed_at = self.completed_requests.last_at(fingerprint);
        completed_at.map_or_else(Clearance::default, Clearance::of_request)
    }

    /// Excludes all deaths of a fingerprint; returns whether any of them counted.
    fn clear(&mut self, fingerprint: Fingerprint, clearance: Clearance) -> bool {
        let known = self.histories.get_mut(&fingerprint);
        let has_changed = known.is_some_and(|h| h.record_answer(clearance));
        if has_changed {
            self.record_change(fingerprint);
        }
        has_changed
    }

    fn merge_history(&mut self, now: u64, received: &FingerprintDeaths) -> bool {
        let known = self.histories.get(&received.fingerprint);
        let clearance = self.clearance(&received.fingerprint);
        let mut history = known
            .cloned()
            .unwrap_or_else(|| DeathHistory::new(clearance));
        let has_changed = history.merge(now as i64, received);
        if known.is_none() && !has_changed {
            return false;
        }
        // Even if nothing is worth reporting: the time of a known death may have become earlier.
        self.histories.insert(received.fingerprint, history);
        if has_changed {
            self.record_change(received.fingerprint);
        }
        has_changed
    }

    fn record_change(&mut self, fingerprint: Fingerprint) {
        self.seq += 1;
        if let Some(history) = self.histories.get_mut(&fingerprint) {
            history.seq = self.seq;
        }
    }

    /// Returns the deaths that are due for classification and whether they were part of a mass failure,
    /// for fingerprints that might be banned.
    fn classify_due(&self, now: i64) -> Vec<(Fingerprint, Incarnation, bool)> {
        let is_due =
            |d: &&Death| !d.is_excluded && !d.is_classified && now - d.at >= CLASSIFICATION_AGE_MS;
        let may_be_banned = |h: &DeathHistory| h.counted_deaths() >= DEATHS_TO_BAN;
        let candidates = self.histories.iter().filter(|(_, h)| may_be_banned(h));
        let due = candidates.flat_map(|(f, h)| h.deaths().filter(is_due).map(move |d| (f, h, d)));
        let due = due.take(MAX_CLASSIFIED_PER_RUN);
        due.map(|(f, h, d)| (*f, d.incarnation, self.is_mass_failure(f, h, d)))
            .collect()
    }

    /// Evicts fingerprints beyond the maximum: those that aren't banned first, then those with the fewest
    /// deaths, then those whose last death is the oldest.
    fn evict(&mut self, now: u64) {
        let priority = |h: &DeathHistory| {
            let ban_state = h.ban_state(|_| true);
            let is_banned = ban_state.until.is_some_and(|until| (now as i64) < until);
            (is_banned, ban_state.deaths, h.deaths().map(|d| d.at).max())
        };
        while self.histories.len() > MAX_FINGERPRINTS {
            let lowest = self.histories.iter().min_by_key(|(_, h)| priority(h));
            let Some(fingerprint) = lowest.map(|(f, _)| *f) else {
                return;
            };
            self.histories.remove(&fingerprint);
        }
    }
}
