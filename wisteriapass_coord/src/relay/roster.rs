//! The relays that a router knows of, and which of them it follows.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use smallvec::SmallVec;
use twox_hash::XxHash64;

use super::{MIN_RELAYS_PER_FLEET, Need, RELAYS_PER_DOMAIN};
use crate::prepaid::{DomainId, HolderId};

/// Age of news from the service up to which a relay is followed, in milliseconds: the service
/// answers a relay at least each second, and its followers hear of that soon after.
const FRESH_MS: u64 = 1_300;

/// Time after which a relay that did not answer, or whose news were old, is tried again, in
/// milliseconds.
const AGAIN_MS: u64 = 1_000;

/// Time without an answer after which nothing is asked of a relay first, in milliseconds.
const SILENT_MS: u64 = 2_000;

/// What a relay said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayStatus {
    /// When its answer came, in milliseconds.
    pub as_of_ms: u64,
    /// How old its news from the service were then, in milliseconds.
    pub age_ms: u64,
    /// Whether it gives its role up.
    pub is_leaving: bool,
}

/// A relay as others name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayInfo {
    /// Its VM.
    pub id: HolderId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether it wrote of late, as far as who names it knows.
    pub is_live: bool,
}

/// A relay as this router knows it.
#[derive(Clone, Debug)]
pub struct KnownRelay {
    /// Its VM.
    pub id: HolderId,
    /// Where it listens.
    pub address: SocketAddr,
    domain: DomainId,
    is_live: bool,
    word: Option<RelayStatus>,
    /// When it was asked last without a word that counts, in milliseconds.
    vain_ms: Option<u64>,
}

/// The relays that one router knows of.
#[derive(Clone, Debug)]
pub struct Roster {
    me: HolderId,
    domain: DomainId,
    relays: BTreeMap<HolderId, KnownRelay>,
    /// The one that is followed.
    followed: Option<HolderId>,
    /// When one of the own failure domain was tried again last.
    retried_ms: Option<u64>,
}

impl Roster {
    /// Creates the roster of a router that knows of none.
    pub fn new(me: HolderId, domain: DomainId) -> Self {
        Self {
            me,
            domain,
            relays: BTreeMap::new(),
            followed: None,
            retried_ms: None,
        }
    }

    /// Takes over who is a relay, as the record or a relay says; a relay that is not named any more
    /// stays for as long as it answers.
    pub fn update(&mut self, now_ms: u64, listed: impl IntoIterator<Item = RelayInfo>) {
        let mut known = std::mem::take(&mut self.relays);
        for relay in listed.into_iter().filter(|r| r.id != self.me) {
            let before = known
                .remove(&relay.id)
                .filter(|s| s.address == relay.address);
            let sight = KnownRelay {
                id: relay.id.clone(),
                address: relay.address,
                domain: relay.domain,
                is_live: relay.is_live,
                word: before.as_ref().and_then(|s| s.word),
                vain_ms: before.as_ref().and_then(|s| s.vain_ms),
            };
            self.relays.insert(relay.id, sight);
        }
        known.retain(|_, sight| sight.answers(now_ms));
        for (id, mut sight) in known {
            sight.is_live = false;
            self.relays.insert(id, sight);
        }
    }

    /// Notes a relay's word.
    pub fn record_status(&mut self, id: &HolderId, word: RelayStatus) {
        let Some(sight) = self.relays.get_mut(id) else {
            return;
        };
        sight.word = Some(word);
        sight.vain_ms = (!word.is_fresh(word.as_of_ms)).then_some(word.as_of_ms);
    }

    /// Notes that a relay did not answer.
    pub fn record_no_answer(&mut self, id: &HolderId, now_ms: u64) {
        if let Some(sight) = self.relays.get_mut(id) {
            sight.word = None;
            sight.vain_ms = Some(now_ms);
        }
    }

    /// Returns the relay to ask for news, which is followed from now on: the one that was while its
    /// news are fresh, else the best that is fresh or worth a try.
    pub fn choose(&mut self, now_ms: u64) -> Option<KnownRelay> {
        let next = self.next(now_ms)?;
        if next.domain == self.domain && !next.is_fresh(now_ms) {
            self.retried_ms = Some(now_ms);
        }
        self.followed = Some(next.id.clone());
        Some(next)
    }

    fn next(&self, now_ms: u64) -> Option<KnownRelay> {
        let followed = self.followed.as_ref().and_then(|id| self.relays.get(id));
        if let Some(sight) = followed.filter(|s| s.is_fresh(now_ms) && s.domain == self.domain) {
            return Some(sight.clone());
        }
        let fresh = self.order(|s| s.is_fresh(now_ms)).first().copied();
        let untried = self.order(KnownRelay::is_untried).first().copied();
        let due = self.relays.values().filter(|s| s.is_due(now_ms));
        let longest_ago = |s: &&KnownRelay| s.vain_ms;
        let is_near = |s: &&KnownRelay| s.domain == self.domain;
        // One after the other: a relay that is silent takes the time in which another answers.
        let may_retry = self.retried_ms.is_none_or(|at| now_ms >= at + AGAIN_MS);
        match fresh {
            Some(fresh) if is_near(&fresh) => Some(fresh.clone()),
            Some(fresh) => {
                let near = due.filter(is_near).filter(|_| may_retry);
                let near = untried.filter(is_near).or(near.min_by_key(longest_ago));
                Some(near.unwrap_or(fresh).clone())
            }
            None => untried.or(due.min_by_key(longest_ago)).cloned(),
        }
    }

    /// Returns whether the relay that is followed has fresh news.
    pub fn is_fresh(&self, now_ms: u64) -> bool {
        let followed = self.followed.as_ref().and_then(|id| self.relays.get(id));
        followed.is_some_and(|s| s.is_fresh(now_ms))
    }

    /// Takes over who is a relay by a record of the service, which does not say who is live.
    pub fn update_from_record(&mut self, now_ms: u64, listed: impl IntoIterator<Item = RelayInfo>) {
        let known = self.relays.clone();
        let live = listed.into_iter().map(|relay| RelayInfo {
            is_live: known.get(&relay.id).is_none_or(|s| s.is_live),
            ..relay
        });
        self.update(now_ms, live);
    }

    /// Returns whether there are too few relays without this router, by a record that was learnt.
    pub fn has_too_few_relays(&self, now_ms: u64) -> bool {
        let is_told = self.is_fresh(now_ms);
        let counts = |s: &&KnownRelay| s.is_fresh(now_ms) || s.is_untried() || is_told && s.is_live;
        let all = || self.relays.values().filter(counts);
        let near = all().filter(|s| s.domain == self.domain);
        near.count() < RELAYS_PER_DOMAIN || is_told && all().count() < MIN_RELAYS_PER_FLEET
    }

    /// Returns the relays to ask for a grant, the best first.
    pub fn relays_by_preference(&self, now_ms: u64) -> SmallVec<[SocketAddr; 8]> {
        let mut order = self.order(|s| s.answers(now_ms) || s.is_due(now_ms));
        let followed = |s: &&KnownRelay| Some(&s.id) != self.followed.as_ref();
        order.sort_by_key(|s| (!s.answers(now_ms), s.domain != self.domain, followed(s)));
        order.iter().map(|s| s.address).collect()
    }

    /// Returns where the relays listen that this router knows of.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.relays.values().map(|s| s.address)
    }

    /// Returns the age of the news that this router has, in milliseconds; none if no relay answers.
    pub fn news_age_ms(&self, now_ms: u64) -> Option<u64> {
        let words = self.relays.values().filter_map(|s| s.word);
        words.map(|word| word.age_at(now_ms)).min()
    }

    /// Returns whether its failure domain and the fleet have relays enough.
    pub fn need(&self, now_ms: u64) -> Need {
        let near = || self.relays.values().filter(|s| s.domain == self.domain);
        let Some(fresh) = near().find(|s| s.is_fresh(now_ms)) else {
            // One that was not asked yet may be fresh.
            let is_open = near().any(KnownRelay::is_untried);
            let is_fresh_elsewhere = self.relays.values().any(|s| s.is_fresh(now_ms));
            return match (is_open, is_fresh_elsewhere) {
                (true, _) => Need::Unclear,
                (false, true) => Need::One,
                (false, false) => Need::Any,
            };
        };
        // The relay that answers sees who writes; it is live itself.
        let is_live = |s: &&KnownRelay| s.is_live || s.id == fresh.id;
        let in_domain = near().filter(is_live).count();
        let in_fleet = self.relays.values().filter(is_live).count();
        if in_domain < RELAYS_PER_DOMAIN || in_fleet < MIN_RELAYS_PER_FLEET {
            return Need::Another;
        }
        Need::None
    }

    /// Returns the relays for which `fits` holds: those of the own failure domain first, each
    /// router with another order.
    fn order(&self, fits: impl Fn(&KnownRelay) -> bool) -> Vec<&KnownRelay> {
        let mut fit: Vec<&KnownRelay> = self.relays.values().filter(|s| fits(s)).collect();
        fit.sort_by_cached_key(|s| {
            let pair = format!("{} {}", self.me, s.id);
            (
                s.domain != self.domain,
                XxHash64::oneshot(0, pair.as_bytes()),
            )
        });
        fit
    }
}

impl KnownRelay {
    /// Returns whether it was never asked.
    fn is_untried(&self) -> bool {
        self.word.is_none() && self.vain_ms.is_none()
    }

    fn is_fresh(&self, now_ms: u64) -> bool {
        self.word.is_some_and(|word| word.is_fresh(now_ms))
    }

    fn answers(&self, now_ms: u64) -> bool {
        let heard = |word: RelayStatus| now_ms.saturating_sub(word.as_of_ms) < SILENT_MS;
        self.word.is_some_and(heard)
    }

    /// Returns whether it is time to try it, or to try it again.
    fn is_due(&self, now_ms: u64) -> bool {
        self.vain_ms
            .is_none_or(|at| now_ms.saturating_sub(at) >= AGAIN_MS)
    }
}

impl RelayStatus {
    fn age_at(&self, now_ms: u64) -> u64 {
        self.age_ms + now_ms.saturating_sub(self.as_of_ms)
    }

    fn is_fresh(&self, now_ms: u64) -> bool {
        !self.is_leaving && self.age_at(now_ms) < FRESH_MS
    }
}
