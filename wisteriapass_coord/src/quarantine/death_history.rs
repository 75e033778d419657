//! What is held against one request.

use smallvec::SmallVec;

use super::completions::SOUND_MS;
use super::death::Death;
use super::{
    DEATH_RETENTION_MS, DEATHS_TO_BAN, DeathRecord, INITIAL_BAN_MS, Incarnation, MAX_BAN_MS,
    MAX_DEATHS_PER_REQUEST, PROBATION_MS, RequestDeaths,
};

/// Life that a death must have left to be taken over from another book, in milliseconds: a message
/// that is late by less brings nothing back that is forgotten.
const LEAST_LIFE_MS: i64 = 60 * 1_000;

/// Age beyond which nothing matters, in milliseconds.
const OLDEST_MS: i64 = 24 * 60 * 60 * 1_000;

/// The deaths of one request and what follows from them.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspicion {
    /// Oldest first, one of each target.
    deaths: SmallVec<[Death; 2]>,
    /// When it ran to a whole answer here last, in milliseconds.
    sound_at: Option<i64>,
    /// Number of the book's change that changed it last.
    pub seq: u64,
}

/// How deaths add up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Sentence {
    /// Deaths that count.
    pub deaths: usize,
    /// When the last ban ends, in milliseconds, if there ever was one.
    pub until: Option<i64>,
}

/// Deaths of one request at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Moment {
    /// All of them.
    pub deaths: usize,
    /// Those before the one in question.
    pub before: usize,
}

impl Suspicion {
    /// Creates that of a request that ran to a whole answer last at a time, as far as is known.
    pub fn new(sound_at: Option<i64>) -> Self {
        Self {
            sound_at,
            ..Self::default()
        }
    }

    /// Returns its deaths, the oldest first.
    pub fn deaths(&self) -> impl Iterator<Item = &Death> {
        self.deaths.iter()
    }

    /// Returns how many of its deaths came at one moment with this one, and how many of them before.
    ///
    /// A moment begins with the first death that is of no earlier one, so a fast train of deaths is
    /// several moments.
    pub fn moment(&self, death: &Death, length_ms: i64) -> Moment {
        let mut moment: SmallVec<[&Death; MAX_DEATHS_PER_REQUEST]> = SmallVec::new();
        for next in &self.deaths {
            let is_over = moment.first().is_some_and(|d| next.at - d.at >= length_ms);
            if is_over && moment.iter().any(|d| d.incarnation == death.incarnation) {
                break;
            }
            if is_over {
                moment.clear();
            }
            moment.push(next);
        }
        let before = |d: &&&Death| d.incarnation != death.incarnation;
        Moment {
            deaths: moment.len(),
            before: moment.iter().take_while(before).count(),
        }
    }

    /// Returns whether it was under way at a target that ended.
    pub fn names(&self, incarnation: Incarnation) -> bool {
        self.deaths.iter().any(|d| d.incarnation == incarnation)
    }

    /// Adds a death, or what is new of one; returns whether that is news.
    pub fn add(&mut self, mut death: Death) -> bool {
        death.excused |= self.sound_at.is_some_and(|at| death.at <= at + SOUND_MS);
        let same = |d: &&mut Death| d.incarnation == death.incarnation;
        let is_news = match self.deaths.iter_mut().find(same) {
            Some(known) => known.join(&death),
            None => {
                self.deaths.push(death);
                true
            }
        };
        self.deaths.sort_by_key(|d| (d.at, d.incarnation));
        if self.deaths.len() <= MAX_DEATHS_PER_REQUEST {
            return is_news;
        }
        let oldest = self.deaths.remove(0);
        is_news && oldest.incarnation != death.incarnation
    }

    /// Notes that it ran to a whole answer; returns whether a death counted before.
    pub fn ran_whole(&mut self, now: i64) -> bool {
        self.sound_at = Some(now);
        let counted = self.sentence(|_| true).deaths;
        self.deaths.iter_mut().for_each(|d| d.excused = true);
        counted > 0
    }

    /// Settles whether the death of a target counts; returns whether that is news.
    pub fn settle(&mut self, incarnation: Incarnation, excused: bool) -> bool {
        let same = |d: &&mut Death| d.incarnation == incarnation;
        let Some(death) = self.deaths.iter_mut().find(same) else {
            return false;
        };
        let is_news = excused && !death.excused;
        death.settled = true;
        death.excused |= excused;
        is_news
    }

    /// Adds up the deaths that count and for which `fits` holds.
    pub fn sentence(&self, fits: impl Fn(&Death) -> bool) -> Sentence {
        let mut sentence = Sentence::default();
        let mut ban_ms = 0;
        for death in self.deaths.iter().filter(|d| !d.excused && fits(d)) {
            sentence.deaths += 1;
            if sentence.deaths < DEATHS_TO_BAN {
                continue;
            }
            ban_ms = match sentence.until {
                None => INITIAL_BAN_MS,
                // A copy that was under way when the ban began.
                Some(until) if death.at < until => ban_ms,
                Some(_) => (ban_ms * 2).min(MAX_BAN_MS),
            };
            sentence.until = Some(death.at + ban_ms);
        }
        sentence
    }

    /// Forgets deaths that are too old; returns whether any is left.
    pub fn forget(&mut self, now: i64) -> bool {
        match self.sentence(|_| true).until {
            Some(until) => now < until + PROBATION_MS,
            None => {
                self.deaths.retain(|d| now - d.at < DEATH_RETENTION_MS);
                !self.deaths.is_empty()
            }
        }
    }

    /// Takes over what another book tells; returns whether that is news.
    pub fn merge(&mut self, now: i64, told: &RequestDeaths) -> bool {
        let mut theirs = Self::default();
        for death in &told.deaths {
            theirs.add(death.at(now));
        }
        let is_kept = |until: i64| now + LEAST_LIFE_MS < until + PROBATION_MS;
        let was_banned = theirs.sentence(|_| true).until.is_some_and(is_kept);
        let mut is_news = false;
        for death in theirs.deaths {
            let is_young = now - death.at + LEAST_LIFE_MS < DEATH_RETENTION_MS;
            if was_banned || is_young || self.names(death.incarnation) {
                is_news |= self.add(death);
            }
        }
        is_news
    }

    /// Returns its deaths as they are told.
    pub fn told(&self, now: i64) -> SmallVec<[DeathRecord; 2]> {
        let told = self.deaths.iter().map(|d| DeathRecord {
            incarnation: d.incarnation,
            age_ms: (now - d.at).max(0) as u64,
            is_excluded: d.excused,
        });
        told.collect()
    }
}

impl DeathRecord {
    fn at(&self, now: i64) -> Death {
        let age = self.age_ms.min(OLDEST_MS as u64);
        Death {
            at: now - age as i64,
            incarnation: self.incarnation,
            excused: self.is_excluded,
            settled: false,
        }
    }
}
