//! The deaths recorded for one fingerprint, and the bans that follow from them.

use smallvec::SmallVec;

use super::clearance::Clearance;
use super::death::Death;
use super::{
    DEATH_RETENTION_MS, DEATHS_TO_BAN, DeathRecord, FingerprintDeaths, INITIAL_BAN_MS, Incarnation,
    MAX_BAN_MS, MAX_DEATHS_PER_FINGERPRINT, PROBATION_MS, Verdict,
};

/// Remaining retention that a death from another table must have to be accepted, in milliseconds:
/// a message that is delayed by less than this brings back nothing that was discarded.
const MIN_REMAINING_MS: i64 = 60 * 1_000;

/// Age to which received ages are capped, in milliseconds; nothing this old matters.
const MAX_AGE_MS: i64 = 24 * 60 * 60 * 1_000;

/// The deaths recorded for one fingerprint.
#[derive(Clone, Debug, Default)]
pub(super) struct DeathHistory {
    /// Oldest first, one per target.
    deaths: SmallVec<[Death; 2]>,
    /// What its last answer at this router excuses.
    clearance: Clearance,
    /// Sequence number of the table's change that last changed it.
    pub seq: u64,
}

/// The ban that follows from the deaths of a fingerprint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct BanState {
    /// Number of deaths that count.
    pub deaths: usize,
    /// When the last ban ends or ended, in milliseconds; `None` if there never was one.
    pub until: Option<i64>,
}

/// Deaths of one fingerprint that are close in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DeathCluster {
    /// Number of deaths.
    pub deaths: usize,
    /// Number of deaths before the one in question.
    pub before: usize,
}

impl DeathHistory {
    /// Creates an empty history with what an earlier answer excuses.
    pub fn new(clearance: Clearance) -> Self {
        Self {
            clearance,
            ..Self::default()
        }
    }

    /// Returns the deaths, the oldest first.
    pub fn deaths(&self) -> impl Iterator<Item = &Death> {
        self.deaths.iter()
    }

    /// Returns the size of the cluster that contains a death, and how many of its deaths came before.
    ///
    /// A cluster begins with the first death that belongs to no earlier one and has a fixed length, so
    /// a rapid sequence of deaths forms several clusters.
    pub fn cluster(&self, death: &Death, length_ms: i64) -> DeathCluster {
        let mut cluster: SmallVec<[&Death; MAX_DEATHS_PER_FINGERPRINT]> = SmallVec::new();
        for next in &self.deaths {
            let is_over = cluster.first().is_some_and(|d| next.at - d.at >= length_ms);
            if is_over && cluster.iter().any(|d| d.incarnation == death.incarnation) {
                break;
            }
            if is_over {
                cluster.clear();
            }
            cluster.push(next);
        }
        let is_before = |d: &&&Death| d.incarnation != death.incarnation;
        DeathCluster {
            deaths: cluster.len(),
            before: cluster.iter().take_while(is_before).count(),
        }
    }

    /// Returns whether a target died that also died with the other fingerprint in flight.
    pub fn has_common_death(&self, other: &Self) -> bool {
        other.deaths.iter().any(|d| self.contains(d.incarnation))
    }

    /// Returns whether the history has the death of a target.
    pub fn contains(&self, incarnation: Incarnation) -> bool {
        self.deaths.iter().any(|d| d.incarnation == incarnation)
    }

    /// Adds a death or merges it into its record; returns whether this changes anything worth
    /// reporting.
    pub fn add(&mut self, mut death: Death) -> bool {
        death.is_excluded |= self.clearance.covers(death.at);
        let is_same = |d: &&mut Death| d.incarnation == death.incarnation;
        let has_changed = match self.deaths.iter_mut().find(is_same) {
            Some(known) => known.join(&death),
            None => {
                death.is_excluded |= self.clearance.excuse(death.at);
                self.deaths.push(death);
                true
            }
        };
        self.deaths.sort_by_key(|d| (d.at, d.incarnation));
        if self.deaths.len() <= MAX_DEATHS_PER_FINGERPRINT {
            return has_changed;
        }
        let oldest = self.deaths.remove(0);
        has_changed && oldest.incarnation != death.incarnation
    }

    /// Records an answer, which excludes all deaths; returns whether any of them counted before.
    pub fn record_answer(&mut self, clearance: Clearance) -> bool {
        self.clearance = clearance;
        let counted = self.counted_deaths();
        self.deaths.iter_mut().for_each(|d| d.is_excluded = true);
        counted > 0
    }

    /// Decides whether the death of a target counts; returns whether this changes anything worth
    /// reporting.
    pub fn classify(&mut self, incarnation: Incarnation, is_excluded: bool) -> bool {
        let is_same = |d: &&mut Death| d.incarnation == incarnation;
        let Some(death) = self.deaths.iter_mut().find(is_same) else {
            return false;
        };
        let has_changed = is_excluded && !death.is_excluded;
        death.is_classified = true;
        death.is_excluded |= is_excluded;
        has_changed
    }

    /// Returns the number of deaths that are not excluded.
    pub fn counted_deaths(&self) -> usize {
        self.deaths.iter().filter(|d| !d.is_excluded).count()
    }

    /// Returns the verdict that follows from the deaths of some targets.
    pub fn verdict(&self, now: u64, counts: impl Fn(&Incarnation) -> bool) -> Verdict {
        let ban_state = self.ban_state(|d| counts(&d.incarnation));
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

    /// Returns the ban that follows from the deaths that count and match `predicate`.
    pub fn ban_state(&self, predicate: impl Fn(&Death) -> bool) -> BanState {
        let mut ban_state = BanState::default();
        let mut ban_ms = 0;
        for death in self
            .deaths
            .iter()
            .filter(|d| !d.is_excluded && predicate(d))
        {
            ban_state.deaths += 1;
            if ban_state.deaths < DEATHS_TO_BAN {
                continue;
            }
            ban_ms = match ban_state.until {
                None => INITIAL_BAN_MS,
                // A copy that was already in flight when the ban began.
                Some(until) if death.at < until => ban_ms,
                Some(_) => (ban_ms * 2).min(MAX_BAN_MS),
            };
            ban_state.until = Some(death.at + ban_ms);
        }
        ban_state
    }

    /// Discards deaths that are too old; returns whether the history is still needed.
    pub fn expire(&mut self, now: i64) -> bool {
        match self.ban_state(|_| true).until {
            Some(until) => now < until + PROBATION_MS,
            None => {
                self.deaths.retain(|d| now - d.at < DEATH_RETENTION_MS);
                !self.deaths.is_empty()
            }
        }
    }

    /// Merges the deaths from another table; returns whether this changes anything worth reporting.
    pub fn merge(&mut self, now: i64, received: &FingerprintDeaths) -> bool {
        let mut other = Self::default();
        for record in &received.deaths {
            other.add(record.death_at(now));
        }
        let is_retained = |until: i64| now + MIN_REMAINING_MS < until + PROBATION_MS;
        let was_banned = other.ban_state(|_| true).until.is_some_and(is_retained);
        let mut has_changed = false;
        for death in other.deaths {
            let is_recent = now - death.at + MIN_REMAINING_MS < DEATH_RETENTION_MS;
            if was_banned || is_recent || self.contains(death.incarnation) {
                has_changed |= self.add(death);
            }
        }
        has_changed
    }

    /// Returns the deaths as they are sent to other tables.
    pub fn to_records(&self, now: i64) -> SmallVec<[DeathRecord; 2]> {
        let records = self.deaths.iter().map(|d| DeathRecord {
            incarnation: d.incarnation,
            age_ms: (now - d.at).max(0) as u64,
            is_excluded: d.is_excluded,
        });
        records.collect()
    }
}

impl DeathRecord {
    fn death_at(&self, now: i64) -> Death {
        let age_ms = self.age_ms.min(MAX_AGE_MS as u64);
        Death {
            at: now - age_ms as i64,
            incarnation: self.incarnation,
            is_excluded: self.is_excluded,
            is_classified: false,
        }
    }
}
