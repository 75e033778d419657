//! The book of requests that were under way at targets that ended.

use std::collections::{BTreeMap, HashSet};

use smallvec::SmallVec;

use super::completions::Sound;
use super::death::Death;
use super::death_history::Suspicion;
use super::{
    Cursor, DEATHS_TO_BAN, Fingerprint, Incarnation, MAX_REQUESTS, MAX_REQUESTS_PER_DELTA,
    QuarantineDelta, RequestDeaths, Verdict,
};

/// Time around a death in which others count as of the same cause, in milliseconds: a rack or a
/// failure domain goes at once, and two requests that crash a target in a third of a second each
/// are no mass failure together.
const AT_ONCE_MS: i64 = 500;

/// Other targets that end at once without the request, from which on its death counts as theirs.
const MASS: usize = 4;

/// Targets that end at one moment, with the request or without, from which on that is a single event:
/// whatever ends many targets does so beneath a sound request that is under way at some, too.
const MANY_AT_ONCE: usize = 6;

/// Deaths of a request that count of such an event: one that brings about another is banned.
const COUNT_OF_MANY: usize = 2;

/// Age from which on it is settled whether a death was part of a mass failure, in milliseconds: news
/// of all routers are there by then.
const SETTLED_MS: i64 = 10_000;

/// Shortest time between two looks for what is old, in milliseconds.
const TIDY_MS: u64 = 500;

/// Deaths that are settled in one look.
const MOST_SETTLED: usize = 64;

/// The requests that were under way at targets that ended, as one process knows it.
#[derive(Clone, Debug)]
pub struct Quarantine {
    process: u64,
    seq: u64,
    tidied_at: u64,
    requests: BTreeMap<Fingerprint, Suspicion>,
    sound: Sound,
}

/// Targets that ended at once with one, under other requests.
struct Others {
    all: usize,
    /// Those that no other request crashed.
    unexplained: usize,
}

impl Quarantine {
    /// Creates the empty book of a process; each start of one has another number.
    pub fn new(process: u64) -> Self {
        Self {
            process,
            seq: 0,
            tidied_at: 0,
            requests: BTreeMap::new(),
            sound: Sound::default(),
        }
    }

    /// Returns whether nothing is held against any request.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns how many requests are in the book.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns up to where this book has come.
    pub fn cursor(&self) -> Cursor {
        Cursor {
            process: self.process,
            seq: self.seq,
        }
    }

    /// Notes that a target ended with the request under way; returns whether that is news.
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
            excused: false,
            settled: false,
        };
        let sound_at = self.sound.at(&fingerprint);
        let known = self.requests.entry(fingerprint);
        let suspicion = known.or_insert_with(|| Suspicion::new(sound_at));
        let is_news = suspicion.add(death);
        if is_news {
            self.note_change(fingerprint);
        }
        self.evict(now);
        is_news
    }

    /// Notes that a request ran to a whole answer; returns whether that changes what is held against
    /// it.
    pub fn record_completion(&mut self, now: u64, fingerprint: Fingerprint) -> bool {
        self.sound.note(now as i64, fingerprint);
        let known = self.requests.get_mut(&fingerprint);
        let is_news = known.is_some_and(|s| s.ran_whole(now as i64));
        if is_news {
            self.note_change(fingerprint);
        }
        is_news
    }

    /// Returns what is to be done with a request.
    pub fn verdict(&self, now: u64, fingerprint: &Fingerprint) -> Verdict {
        let Some(suspicion) = self.requests.get(fingerprint) else {
            return Verdict::Clear;
        };
        let mut sentence = suspicion.sentence(|_| true);
        if sentence.deaths >= DEATHS_TO_BAN {
            sentence =
                suspicion.sentence(|d| d.settled || !self.is_mass(fingerprint, suspicion, d));
        }
        let until = sentence.until.filter(|until| (now as i64) < *until);
        match (sentence.deaths, until) {
            (0, _) => Verdict::Clear,
            (deaths, Some(until)) => Verdict::Banned {
                deaths,
                until: until as u64,
            },
            (deaths, None) => Verdict::Suspect { deaths },
        }
    }

    /// Returns the requests that are banned now.
    pub fn banned(&self, now: u64) -> Vec<Fingerprint> {
        let is_banned = |f: &&Fingerprint| self.verdict(now, f).banned_until().is_some();
        self.requests.keys().filter(is_banned).copied().collect()
    }

    /// Returns the targets that ended with a request under way, the first one first.
    pub fn targets(&self, fingerprint: &Fingerprint) -> SmallVec<[Incarnation; 4]> {
        let known = self.requests.get(fingerprint).into_iter();
        known
            .flat_map(|s| s.deaths().map(|d| d.incarnation))
            .collect()
    }

    /// Returns the changes behind a cursor; all of them if it is of another book.
    pub fn delta_since(&self, cursor: Cursor, now: u64) -> QuarantineDelta {
        let is_mine = cursor.process == self.process;
        let seq = if is_mine { cursor.seq } else { 0 };
        let changed = self.requests.iter().filter(|(_, s)| s.seq > seq);
        let mut changed: Vec<_> = changed.collect();
        changed.sort_by_key(|(_, s)| s.seq);
        let has_more = changed.len() > MAX_REQUESTS_PER_DELTA;
        changed.truncate(MAX_REQUESTS_PER_DELTA);
        let last = changed.last().map_or(self.seq, |(_, s)| s.seq);
        let told = changed.into_iter().map(|(fingerprint, s)| RequestDeaths {
            fingerprint: *fingerprint,
            deaths: s.told(now as i64),
        });
        QuarantineDelta {
            requests: told.collect(),
            cursor: Cursor {
                process: self.process,
                seq: if has_more { last } else { self.seq },
            },
            has_more,
        }
    }

    /// Takes over what another book tells; returns whether that changes anything.
    pub fn merge(&mut self, now: u64, news: &QuarantineDelta) -> bool {
        self.maintain(now);
        let mut is_news = false;
        for told in news.requests.iter().take(MAX_REQUESTS_PER_DELTA) {
            is_news |= self.merge_one(now, told);
        }
        self.evict(now);
        is_news
    }

    /// Settles which deaths were part of a mass failure, and forgets what is old; to be called now and
    /// then, also where nothing happens.
    pub fn maintain(&mut self, now: u64) {
        if now < self.tidied_at + TIDY_MS {
            return;
        }
        self.tidied_at = now;
        for (fingerprint, incarnation, is_mass) in self.settled(now as i64) {
            let known = self.requests.get_mut(&fingerprint);
            if known.is_some_and(|s| s.settle(incarnation, is_mass)) {
                self.note_change(fingerprint);
            }
        }
        self.requests.retain(|_, s| s.forget(now as i64));
    }

    fn merge_one(&mut self, now: u64, told: &RequestDeaths) -> bool {
        let known = self.requests.get(&told.fingerprint);
        let sound_at = self.sound.at(&told.fingerprint);
        let mut suspicion = known.cloned().unwrap_or_else(|| Suspicion::new(sound_at));
        let is_news = suspicion.merge(now as i64, told);
        if known.is_none() && !is_news {
            return false;
        }
        // Also without news: an earlier time of a death that is known counts.
        self.requests.insert(told.fingerprint, suspicion);
        if is_news {
            self.note_change(told.fingerprint);
        }
        is_news
    }

    fn note_change(&mut self, fingerprint: Fingerprint) {
        self.seq += 1;
        if let Some(suspicion) = self.requests.get_mut(&fingerprint) {
            suspicion.seq = self.seq;
        }
    }

    /// Returns whether a death has a cause that took other targets too.
    ///
    /// Of many at one moment two count all the same, as copies of one request may be under way at
    /// once.
    fn is_mass(&self, fingerprint: &Fingerprint, suspicion: &Suspicion, death: &Death) -> bool {
        let others = self.others_at_once(fingerprint, suspicion, death);
        if others.unexplained >= MASS {
            return true;
        }
        let moment = suspicion.moment(death, AT_ONCE_MS);
        moment.deaths + others.all >= MANY_AT_ONCE && moment.before >= COUNT_OF_MANY
    }

    /// Counts the targets that ended at once with a death, without its request under way.
    ///
    /// Targets that ended under another request that crashes them are explained by it: several such
    /// requests may come at once. One that is under way everywhere does not stand for that, as it runs
    /// to whole answers elsewhere.
    fn others_at_once(
        &self,
        fingerprint: &Fingerprint,
        suspicion: &Suspicion,
        death: &Death,
    ) -> Others {
        let is_near = |d: &Death| (d.at - death.at).abs() < AT_ONCE_MS;
        let mut all = HashSet::new();
        let mut explained = HashSet::new();
        for (other, theirs) in &self.requests {
            if other == fingerprint || !theirs.deaths().any(is_near) {
                continue;
            }
            let near = theirs.deaths().filter(|d| is_near(d));
            let apart = near.filter(|d| !suspicion.names(d.incarnation));
            let apart: SmallVec<[&Death; 4]> = apart.collect();
            let at_once = apart.iter().filter(|d| !d.excused).count();
            let before = theirs
                .deaths()
                .filter(|d| !d.excused && !is_near(d))
                .count();
            if at_once >= DEATHS_TO_BAN || before + 1 >= DEATHS_TO_BAN {
                explained.extend(apart.iter().map(|d| d.incarnation));
            }
            all.extend(apart.iter().map(|d| d.incarnation));
        }
        Others {
            all: all.len(),
            unexplained: all.difference(&explained).count(),
        }
    }

    /// Returns which deaths turned out as part of a mass failure or not, where that matters.
    fn settled(&self, now: i64) -> Vec<(Fingerprint, Incarnation, bool)> {
        let is_due = |d: &&Death| !d.excused && !d.settled && now - d.at >= SETTLED_MS;
        let matters = |s: &Suspicion| s.sentence(|_| true).deaths >= DEATHS_TO_BAN;
        let accused = self.requests.iter().filter(|(_, s)| matters(s));
        let due = accused.flat_map(|(f, s)| s.deaths().filter(is_due).map(move |d| (f, s, d)));
        let due = due.take(MOST_SETTLED);
        due.map(|(f, s, d)| (*f, d.incarnation, self.is_mass(f, s, d)))
            .collect()
    }

    /// Makes room: of too many requests those go first that ended the fewest targets, then the
    /// oldest.
    fn evict(&mut self, now: u64) {
        let worth = |s: &Suspicion| {
            let sentence = s.sentence(|_| true);
            let is_banned = sentence.until.is_some_and(|until| (now as i64) < until);
            (is_banned, sentence.deaths, s.deaths().map(|d| d.at).max())
        };
        while self.requests.len() > MAX_REQUESTS {
            let least = self.requests.iter().min_by_key(|(_, s)| worth(s));
            let Some(fingerprint) = least.map(|(f, _)| *f) else {
                return;
            };
            self.requests.remove(&fingerprint);
        }
    }
}
