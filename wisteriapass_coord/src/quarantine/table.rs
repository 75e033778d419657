//! The table of requests that were in flight at targets that died.

use std::collections::{BTreeMap, HashSet};

use smallvec::SmallVec;

use super::completions::Completions;
use super::death::Death;
use super::death_history::DeathHistory;
use super::{
    Cursor, DEATHS_TO_BAN, Fingerprint, Incarnation, MAX_REQUESTS, MAX_REQUESTS_PER_DELTA,
    QuarantineDelta, RequestDeaths, Verdict,
};

/// Time around a death in which other deaths count as simultaneous, in milliseconds: a rack or a
/// failure domain fails all at once, whereas two requests that each crash a target every third of a
/// second are not a mass failure together.
const SIMULTANEOUS_MS: i64 = 500;

/// Number of targets that die simultaneously without the request in flight, from which on a death is
/// attributed to the same mass failure.
const MASS_FAILURE_TARGETS: usize = 4;

/// Number of targets that die simultaneously, with or without the request in flight, from which on
/// this is a single event: whatever takes down many targets also hits those at which a harmless
/// request is in flight.
const SINGLE_EVENT_TARGETS: usize = 6;

/// Number of deaths of a request that count in such an event: one more death elsewhere then bans it.
const COUNTED_PER_EVENT: usize = 2;

/// Age at which it is decided whether a death was part of a mass failure, in milliseconds: messages
/// from all routers have arrived by then.
const CLASSIFICATION_AGE_MS: i64 = 10_000;

/// Minimum time between two maintenance runs, in milliseconds.
const MAINTENANCE_INTERVAL_MS: u64 = 500;

/// Maximum number of deaths that are classified in one maintenance run.
const MAX_CLASSIFIED_PER_RUN: usize = 64;

/// The requests that were in flight at targets that died, as one process knows them.
#[derive(Clone, Debug)]
pub struct Quarantine {
    process: u64,
    seq: u64,
    maintained_at: u64,
    requests: BTreeMap<Fingerprint, DeathHistory>,
    completions: Completions,
}

/// Targets that died simultaneously with another one, without the request in question in flight.
struct SimultaneousDeaths {
    total: usize,
    /// Those whose death no other poison request explains.
    unexplained: usize,
}

impl Quarantine {
    /// Creates the empty table of a process; `process` differs for each start.
    pub fn new(process: u64) -> Self {
        Self {
            process,
            seq: 0,
            maintained_at: 0,
            requests: BTreeMap::new(),
            completions: Completions::default(),
        }
    }

    /// Returns whether the table has no requests.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the number of requests in the table.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns the current position in the change sequence.
    pub fn cursor(&self) -> Cursor {
        Cursor {
            process: self.process,
            seq: self.seq,
        }
    }

    /// Records that a target died with the request in flight; returns whether this changes anything
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
        let completed_at = self.completions.last_at(&fingerprint);
        let known = self.requests.entry(fingerprint);
        let history = known.or_insert_with(|| DeathHistory::new(completed_at));
        let has_changed = history.add(death);
        if has_changed {
            self.record_change(fingerprint);
        }
        self.evict(now);
        has_changed
    }

    /// Records that a request completed; returns whether this changes which deaths count against it.
    pub fn record_completion(&mut self, now: u64, fingerprint: Fingerprint) -> bool {
        self.completions.record(now as i64, fingerprint);
        let known = self.requests.get_mut(&fingerprint);
        let has_changed = known.is_some_and(|h| h.record_completion(now as i64));
        if has_changed {
            self.record_change(fingerprint);
        }
        has_changed
    }

    /// Returns whether a request is banned.
    pub fn verdict(&self, now: u64, fingerprint: &Fingerprint) -> Verdict {
        let Some(history) = self.requests.get(fingerprint) else {
            return Verdict::Clear;
        };
        let mut ban_state = history.ban_state(|_| true);
        if ban_state.deaths >= DEATHS_TO_BAN {
            ban_state = history
                .ban_state(|d| d.is_classified || !self.is_mass_failure(fingerprint, history, d));
        }
        let until = ban_state.until.filter(|until| (now as i64) < *until);
        match (ban_state.deaths, until) {
            (0, _) => Verdict::Clear,
            (deaths, Some(until)) => Verdict::Banned {
                deaths,
                until: until as u64,
            },
            (deaths, None) => Verdict::Suspect { deaths },
        }
    }

    /// Returns the requests that are currently banned.
    pub fn banned(&self, now: u64) -> Vec<Fingerprint> {
        let is_banned = |f: &&Fingerprint| self.verdict(now, f).banned_until().is_some();
        self.requests.keys().filter(is_banned).copied().collect()
    }

    /// Returns the targets that died with a request in flight, the earliest first.
    pub fn targets(&self, fingerprint: &Fingerprint) -> SmallVec<[Incarnation; 4]> {
        let known = self.requests.get(fingerprint).into_iter();
        known
            .flat_map(|h| h.deaths().map(|d| d.incarnation))
            .collect()
    }

    /// Returns the changes after a cursor; all of them if the cursor belongs to another table.
    pub fn delta_since(&self, cursor: Cursor, now: u64) -> QuarantineDelta {
        let is_own = cursor.process == self.process;
        let seq = if is_own { cursor.seq } else { 0 };
        let changed = self.requests.iter().filter(|(_, h)| h.seq > seq);
        let mut changed: Vec<_> = changed.collect();
        changed.sort_by_key(|(_, h)| h.seq);
        let has_more = changed.len() > MAX_REQUESTS_PER_DELTA;
        changed.truncate(MAX_REQUESTS_PER_DELTA);
        let last = changed.last().map_or(self.seq, |(_, h)| h.seq);
        let requests = changed.into_iter().map(|(fingerprint, h)| RequestDeaths {
            fingerprint: *fingerprint,
            deaths: h.to_records(now as i64),
        });
        QuarantineDelta {
            requests: requests.collect(),
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
        for request in delta.requests.iter().take(MAX_REQUESTS_PER_DELTA) {
            has_changed |= self.merge_request(now, request);
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
            let known = self.requests.get_mut(&fingerprint);
            if known.is_some_and(|h| h.classify(incarnation, is_mass)) {
                self.record_change(fingerprint);
            }
        }
        self.requests.retain(|_, h| h.expire(now as i64));
    }

    fn merge_request(&mut self, now: u64, received: &RequestDeaths) -> bool {
        let known = self.requests.get(&received.fingerprint);
        let completed_at = self.completions.last_at(&received.fingerprint);
        let mut history = known
            .cloned()
            .unwrap_or_else(|| DeathHistory::new(completed_at));
        let has_changed = history.merge(now as i64, received);
        if known.is_none() && !has_changed {
            return false;
        }
        // Even if nothing is worth reporting: the time of a known death may have become earlier.
        self.requests.insert(received.fingerprint, history);
        if has_changed {
            self.record_change(received.fingerprint);
        }
        has_changed
    }

    fn record_change(&mut self, fingerprint: Fingerprint) {
        self.seq += 1;
        if let Some(history) = self.requests.get_mut(&fingerprint) {
            history.seq = self.seq;
        }
    }

    /// Returns whether a death is attributed to a mass failure.
    ///
    /// Even if many targets die simultaneously, two deaths count, because several copies of one request
    /// may be in flight at the same time.
    fn is_mass_failure(
        &self,
        fingerprint: &Fingerprint,
        history: &DeathHistory,
        death: &Death,
    ) -> bool {
        let others = self.simultaneous_deaths(fingerprint, history, death);
        if others.unexplained >= MASS_FAILURE_TARGETS {
            return true;
        }
        let cluster = history.cluster(death, SIMULTANEOUS_MS);
        cluster.deaths + others.total >= SINGLE_EVENT_TARGETS && cluster.before >= COUNTED_PER_EVENT
    }

    /// Counts the targets that died simultaneously with a death, without its request in flight.
    ///
    /// Deaths with another poison request in flight are explained by that request: several poison
    /// requests may arrive at the same time. A harmless request that is in flight everywhere explains
    /// no deaths, because it completes elsewhere.
    fn simultaneous_deaths(
        &self,
        fingerprint: &Fingerprint,
        history: &DeathHistory,
        death: &Death,
    ) -> SimultaneousDeaths {
        let is_near = |d: &Death| (d.at - death.at).abs() < SIMULTANEOUS_MS;
        let mut all = HashSet::new();
        let mut explained = HashSet::new();
        for (other, other_history) in &self.requests {
            if other == fingerprint || !other_history.deaths().any(is_near) {
                continue;
            }
            let near = other_history.deaths().filter(|d| is_near(d));
            let separate = near.filter(|d| !history.contains(d.incarnation));
            let separate: SmallVec<[&Death; 4]> = separate.collect();
            let simultaneous = separate.iter().filter(|d| !d.is_excluded).count();
            let before = other_history
                .deaths()
                .filter(|d| !d.is_excluded && !is_near(d))
                .count();
            if simultaneous >= DEATHS_TO_BAN || before + 1 >= DEATHS_TO_BAN {
                explained.extend(separate.iter().map(|d| d.incarnation));
            }
            all.extend(separate.iter().map(|d| d.incarnation));
        }
        SimultaneousDeaths {
            total: all.len(),
            unexplained: all.difference(&explained).count(),
        }
    }

    /// Returns the deaths that are due for classification and whether they were part of a mass failure,
    /// for requests that might be banned.
    fn classify_due(&self, now: i64) -> Vec<(Fingerprint, Incarnation, bool)> {
        let is_due =
            |d: &&Death| !d.is_excluded && !d.is_classified && now - d.at >= CLASSIFICATION_AGE_MS;
        let may_be_banned = |h: &DeathHistory| h.ban_state(|_| true).deaths >= DEATHS_TO_BAN;
        let candidates = self.requests.iter().filter(|(_, h)| may_be_banned(h));
        let due = candidates.flat_map(|(f, h)| h.deaths().filter(is_due).map(move |d| (f, h, d)));
        let due = due.take(MAX_CLASSIFIED_PER_RUN);
        due.map(|(f, h, d)| (*f, d.incarnation, self.is_mass_failure(f, h, d)))
            .collect()
    }

    /// Evicts requests beyond the maximum: those that aren't banned first, then those with the fewest
    /// deaths, then those whose last death is the oldest.
    fn evict(&mut self, now: u64) {
        let priority = |h: &DeathHistory| {
            let ban_state = h.ban_state(|_| true);
            let is_banned = ban_state.until.is_some_and(|until| (now as i64) < until);
            (is_banned, ban_state.deaths, h.deaths().map(|d| d.at).max())
        };
        while self.requests.len() > MAX_REQUESTS {
            let lowest = self.requests.iter().min_by_key(|(_, h)| priority(h));
            let Some(fingerprint) = lowest.map(|(f, _)| *f) else {
                return;
            };
            self.requests.remove(&fingerprint);
        }
    }
}
