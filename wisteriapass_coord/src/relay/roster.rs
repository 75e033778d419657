//! The relays that a router knows, and which of them it follows.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use smallvec::SmallVec;
use twox_hash::XxHash64;

use super::{MIN_RELAYS_PER_FLEET, RELAYS_PER_DOMAIN, RelayNeed};
use crate::prepaid::{DomainId, HolderId};

/// Age of news from the service up to which a relay counts as fresh, in milliseconds: the service
/// answers a relay at least once a second, and its followers hear of it soon after.
const MAX_NEWS_AGE_MS: u64 = 1_300;

/// Delay before a relay that didn't answer, or whose news was stale, is asked again, in
/// milliseconds.
const RETRY_DELAY_MS: u64 = 1_000;

/// Time without an answer after which a relay is no longer preferred for requests, in milliseconds.
const SILENCE_TIMEOUT_MS: u64 = 2_000;

/// What a relay last reported about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayStatus {
    /// The time to which `age_ms` refers, in milliseconds.
    pub as_of_ms: u64,
    /// When the report arrived, in milliseconds.
    pub received_ms: u64,
    /// Age of its news from the service at that time, in milliseconds.
    pub age_ms: u64,
    /// Whether it is giving up its role.
    pub is_leaving: bool,
}

/// A relay as named by the record or by another relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayInfo {
    /// Its VM.
    pub id: HolderId,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether it wrote recently, as far as the source of this information knows.
    pub is_live: bool,
}

/// A relay as this router knows it.
#[derive(Clone, Debug)]
pub struct KnownRelay {
    /// Its VM.
    pub id: HolderId,
    /// Address on which it listens.
    pub address: SocketAddr,
    domain: DomainId,
    is_live: bool,
    status: Option<RelayStatus>,
    /// When it was last asked without giving a fresh status, in milliseconds.
    failed_ms: Option<u64>,
}

/// The relays that one router knows.
#[derive(Clone, Debug)]
pub struct Roster {
    me: HolderId,
    domain: DomainId,
    relays: BTreeMap<HolderId, KnownRelay>,
    /// The relay that this router follows.
    followed: Option<HolderId>,
    /// When a relay of the local failure domain was last tried, in milliseconds.
    retried_ms: Option<u64>,
}

impl Roster {
    /// Creates the roster of a router that knows no relays.
    pub fn new(me: HolderId, domain: DomainId) -> Self {
        Self {
            me,
            domain,
            relays: BTreeMap::new(),
            followed: None,
            retried_ms: None,
        }
    }

    /// Replaces the known relays by those that the record or a relay names; a relay that is no
    /// longer named is kept for as long as it answers.
    pub fn update(&mut self, now_ms: u64, infos: impl IntoIterator<Item = RelayInfo>) {
        let mut known = std::mem::take(&mut self.relays);
        for info in infos.into_iter().filter(|r| r.id != self.me) {
            let before = known.remove(&info.id).filter(|r| r.address == info.address);
            let relay = KnownRelay {
                id: info.id.clone(),
                address: info.address,
                domain: info.domain,
                is_live: info.is_live,
                status: before.as_ref().and_then(|r| r.status),
                failed_ms: before.as_ref().and_then(|r| r.failed_ms),
            };
            self.relays.insert(info.id, relay);
        }
        known.retain(|_, relay| relay.is_answering(now_ms));
        for (id, mut relay) in known {
            relay.is_live = false;
            self.relays.insert(id, relay);
        }
    }

    /// Records a relay's status.
    pub fn record_status(&mut self, id: &HolderId, status: RelayStatus) {
        let Some(relay) = self.relays.get_mut(id) else {
            return;
        };
        relay.status = Some(status);
        relay.failed_ms = (!status.is_fresh(status.as_of_ms)).then_some(status.as_of_ms);
    }

    /// Records that a relay didn't answer.
    pub fn record_no_answer(&mut self, id: &HolderId, now_ms: u64) {
        if let Some(relay) = self.relays.get_mut(id) {
            relay.status = None;
            relay.failed_ms = Some(now_ms);
        }
    }

    /// Returns the relay to ask for news and follows it from now on.
    ///
    /// A local relay is kept while its news is recent; otherwise the best one whose news is recent or
    /// that is worth a try is chosen.
    pub fn choose(&mut self, now_ms: u64) -> Option<KnownRelay> {
        let next = self.next_relay(now_ms)?;
        if next.domain == self.domain && !next.is_recent(now_ms) {
            self.retried_ms = Some(now_ms);
        }
        self.followed = Some(next.id.clone());
        Some(next)
    }

    fn next_relay(&self, now_ms: u64) -> Option<KnownRelay> {
        let followed = self.followed.as_ref().and_then(|id| self.relays.get(id));
        if let Some(relay) = followed.filter(|r| r.is_recent(now_ms) && r.domain == self.domain) {
            return Some(relay.clone());
        }
        let recent = self.ranked(|r| r.is_recent(now_ms)).first().copied();
        let untried = self.ranked(KnownRelay::is_untried).first().copied();
        let due = self.relays.values().filter(|r| r.is_retry_due(now_ms));
        let last_failure = |r: &&KnownRelay| r.failed_ms;
        let is_local = |r: &&KnownRelay| r.domain == self.domain;
        // Local relays are retried one at a time: while one times out, another could answer.
        let may_retry = self
            .retried_ms
            .is_none_or(|at| now_ms >= at + RETRY_DELAY_MS);
        match recent {
            Some(recent) if is_local(&recent) => Some(recent.clone()),
            Some(recent) => {
                let local = due.filter(is_local).filter(|_| may_retry);
                let local = untried.filter(is_local).or(local.min_by_key(last_failure));
                Some(local.unwrap_or(recent).clone())
            }
            None => untried.or(due.min_by_key(last_failure)).cloned(),
        }
    }

    /// Returns whether the followed relay has fresh news.
    pub fn is_fresh(&self, now_ms: u64) -> bool {
        let followed = self.followed.as_ref().and_then(|id| self.relays.get(id));
        followed.is_some_and(|r| r.is_fresh(now_ms))
    }

    /// Returns whether the followed relay answers with recent news, however long its answers take.
    pub fn is_following(&self, now_ms: u64) -> bool {
        let followed = self.followed.as_ref().and_then(|id| self.relays.get(id));
        followed.is_some_and(|r| r.is_recent(now_ms))
    }

    /// Replaces the known relays by those of a record of the service, which doesn't say which of
    /// them are live.
    pub fn update_from_record(&mut self, now_ms: u64, infos: impl IntoIterator<Item = RelayInfo>) {
        let known = self.relays.clone();
        let infos = infos.into_iter().map(|info| RelayInfo {
            is_live: known.get(&info.id).is_none_or(|r| r.is_live),
            ..info
        });
        self.update(now_ms, infos);
    }

    /// Returns whether there are too few relays without this router, judging by the last record.
    pub fn has_too_few_relays(&self, now_ms: u64) -> bool {
        let is_informed = self.is_following(now_ms);
        let counts =
            |r: &&KnownRelay| r.is_recent(now_ms) || r.is_untried() || is_informed && r.is_live;
        let all = || self.relays.values().filter(counts);
        let local = all().filter(|r| r.domain == self.domain);
        local.count() < RELAYS_PER_DOMAIN || is_informed && all().count() < MIN_RELAYS_PER_FLEET
    }

    /// Returns the addresses of the relays to which requests may be sent, the preferred one first.
    pub fn relays_by_preference(&self, now_ms: u64) -> SmallVec<[SocketAddr; 8]> {
        let mut ranked = self.ranked(|r| r.is_answering(now_ms) || r.is_retry_due(now_ms));
        let is_other = |r: &&KnownRelay| Some(&r.id) != self.followed.as_ref();
        ranked.sort_by_key(|r| {
            (
                !r.is_answering(now_ms),
                r.domain != self.domain,
                is_other(r),
            )
        });
        ranked.iter().map(|r| r.address).collect()
    }

    /// Returns the addresses of all known relays.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.relays.values().map(|r| r.address)
    }

    /// Returns all known relays.
    pub fn relays(&self) -> impl Iterator<Item = &KnownRelay> {
        self.relays.values()
    }

    /// Returns the age of this router's news, in milliseconds; `None` if no relay answers.
    pub fn news_age_ms(&self, now_ms: u64) -> Option<u64> {
        let statuses = self.relays.values().filter_map(|r| r.status);
        statuses.map(|status| status.age_at(now_ms)).min()
    }

    /// Returns whether this router needs more relays than its failure domain and the fleet have.
    pub fn need(&self, now_ms: u64) -> RelayNeed {
        let local = || self.relays.values().filter(|r| r.domain == self.domain);
        let Some(recent) = local().find(|r| r.is_recent(now_ms)) else {
            // A relay that wasn't asked yet may have recent news.
            let has_untried = local().any(KnownRelay::is_untried);
            let is_recent_elsewhere = self.relays.values().any(|r| r.is_recent(now_ms));
            return match (has_untried, is_recent_elsewhere) {
                (true, _) => RelayNeed::Unclear,
                (false, true) => RelayNeed::One,
                (false, false) => RelayNeed::Any,
            };
        };
        // The answering relay reports which relays write; it is live itself.
        let is_live = |r: &&KnownRelay| r.is_live || r.id == recent.id;
        let in_domain = local().filter(is_live).count();
        let in_fleet = self.relays.values().filter(is_live).count();
        if in_domain < RELAYS_PER_DOMAIN || in_fleet < MIN_RELAYS_PER_FLEET {
            return RelayNeed::Another;
        }
        RelayNeed::None
    }

    /// Returns the relays that match a predicate: those of the local failure domain first,
    /// otherwise in an order that differs between routers.
    fn ranked(&self, predicate: impl Fn(&KnownRelay) -> bool) -> Vec<&KnownRelay> {
        let mut matching: Vec<&KnownRelay> =
            self.relays.values().filter(|r| predicate(r)).collect();
        matching.sort_by_cached_key(|r| {
            let pair = format!("{} {}", self.me, r.id);
            (
                r.domain != self.domain,
                XxHash64::oneshot(0, pair.as_bytes()),
            )
        });
        matching
    }
}

impl KnownRelay {
    /// Returns what other routers are told of it.
    pub fn info(&self) -> RelayInfo {
        RelayInfo {
            id: self.id.clone(),
            address: self.address,
            domain: self.domain,
            is_live: self.is_live,
        }
    }

    /// Returns whether it was never asked.
    fn is_untried(&self) -> bool {
        self.status.is_none() && self.failed_ms.is_none()
    }

    fn is_fresh(&self, now_ms: u64) -> bool {
        self.status.is_some_and(|status| status.is_fresh(now_ms))
    }

    fn is_recent(&self, now_ms: u64) -> bool {
        self.status.is_some_and(|status| status.is_recent(now_ms))
    }

    fn is_answering(&self, now_ms: u64) -> bool {
        let is_recent =
            |status: RelayStatus| now_ms.saturating_sub(status.as_of_ms) < SILENCE_TIMEOUT_MS;
        self.status.is_some_and(is_recent)
    }

    /// Returns whether it may be asked, or asked again.
    fn is_retry_due(&self, now_ms: u64) -> bool {
        self.failed_ms
            .is_none_or(|at| now_ms.saturating_sub(at) >= RETRY_DELAY_MS)
    }
}

impl RelayStatus {
    fn age_at(&self, now_ms: u64) -> u64 {
        let since_ms = now_ms.saturating_sub(self.as_of_ms);
        self.age_ms.saturating_add(since_ms)
    }

    fn is_fresh(&self, now_ms: u64) -> bool {
        !self.is_leaving && self.age_at(now_ms) < MAX_NEWS_AGE_MS
    }

    /// Returns whether the relay's news is fresh but for the time that its answer took. A router
    /// whose own link or CPU delays its answers gets no fresher news from another relay.
    fn is_recent(&self, now_ms: u64) -> bool {
        let since_answer_ms = now_ms.saturating_sub(self.received_ms);
        !self.is_leaving && self.age_ms.saturating_add(since_answer_ms) < MAX_NEWS_AGE_MS
    }
}
