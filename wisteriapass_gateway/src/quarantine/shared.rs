//! The book that all routers share, as this one has it.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use wisteriapass_coord::quarantine::{Cursor, Fingerprint, Incarnation, News, Quarantine, Verdict};

use crate::prelude::*;

/// Routers whose state of knowledge is remembered; more than are relays at a time.
const MOST_PEERS: usize = 256;

/// What one router tells another, which answers with its own news.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QuarantineCall {
    /// Changes of the caller's book that the other one may not have.
    pub update: News,
    /// Up to where the caller knows the other's book.
    pub known: Cursor,
    /// Whether the caller tells all relays itself.
    pub is_relay: bool,
}

/// What this router and another know of each other's books.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// Up to where this router knows the other's book.
    known: Cursor,
    /// Up to where the other knows this one's.
    told: u64,
}

/// The book as this router has it, and up to where others do.
#[derive(Debug)]
pub struct SharedQuarantine {
    clock: Clock,
    book: RefCell<Quarantine>,
    peers: RefCell<HashMap<SocketAddr, Peer>>,
    /// Bans that are in the log.
    logged: RefCell<HashSet<Fingerprint>>,
    /// Wakes the task that tells relays.
    pub changed: Notify,
}

impl SharedQuarantine {
    /// Creates an empty one.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            book: RefCell::new(Quarantine::new(rand::random())),
            peers: RefCell::default(),
            logged: RefCell::default(),
            changed: Notify::new(),
        }
    }

    /// Returns whether nothing is held against any request.
    pub fn is_empty(&self) -> bool {
        self.book.borrow().is_empty()
    }

    /// Returns what is to be done with a request.
    pub fn verdict(&self, fingerprint: &Fingerprint) -> Verdict {
        let book = self.book.borrow();
        book.verdict(self.clock.now_ms(), fingerprint)
    }

    /// Notes that a target ended with a request under way; returns what follows.
    pub fn record_death(
        &self,
        at_ms: u64,
        fingerprint: Fingerprint,
        incarnation: Incarnation,
    ) -> Verdict {
        let is_news = self.book.borrow_mut().died(at_ms, fingerprint, incarnation);
        if is_news {
            self.changed.notify_one();
        }
        self.verdict(&fingerprint)
    }

    /// Notes that a request ran to a whole answer.
    pub fn record_completion(&self, fingerprint: Fingerprint) {
        let now_ms = self.clock.now_ms();
        if self.book.borrow_mut().ran_whole(now_ms, fingerprint) {
            log::info!(target: "quarantine", "Ran to a whole answer. fingerprint={fingerprint}");
            self.changed.notify_one();
        }
    }

    /// Returns whether another router may not have all of this book.
    pub fn is_behind(&self, at: SocketAddr) -> bool {
        let told = self.peers.borrow().get(&at).map_or(0, |p| p.told);
        told < self.book.borrow().cursor().seq
    }

    /// Returns what to tell another router.
    pub fn call_for(&self, at: SocketAddr, is_relay: bool) -> QuarantineCall {
        let peer = self.peers.borrow().get(&at).copied().unwrap_or_default();
        let book = self.book.borrow();
        let told = Cursor {
            seq: peer.told,
            ..book.cursor()
        };
        QuarantineCall {
            update: book.since(told, self.clock.now_ms()),
            known: peer.known,
            is_relay,
        }
    }

    /// Takes another router's answer to a call in.
    pub fn take(&self, at: SocketAddr, call: &QuarantineCall, answer: &News) {
        let mut peers = self.peers.borrow_mut();
        if peers.len() >= MOST_PEERS {
            peers.clear();
        }
        let peer = peers.entry(at).or_default();
        let process = answer.cursor.process;
        let is_first = call.known == Cursor::default();
        if !is_first && call.known.process != process {
            // Another process is there now: it is told all, and asked for all.
            *peer = Peer::default();
        } else {
            let is_same = peer.known.process == process;
            let told = if is_same { peer.told } else { 0 };
            peer.told = told.max(call.update.cursor.seq);
            peer.known = answer.cursor;
        }
        drop(peers);
        // An answer may excuse what this router has told all relays.
        if self.merge(answer) && call.is_relay {
            self.changed.notify_one();
        }
    }

    /// Answers another router that tells its news.
    pub fn handle_call(&self, call: &QuarantineCall) -> News {
        if self.merge(&call.update) && !call.is_relay {
            self.changed.notify_one();
        }
        let book = self.book.borrow();
        book.since(call.known, self.clock.now_ms())
    }

    /// Forgets what is old, and logs which bans are over.
    pub fn tidy(&self) {
        self.book.borrow_mut().tidy(self.clock.now_ms());
        self.log_bans();
    }

    fn merge(&self, news: &News) -> bool {
        if news.told.is_empty() {
            return false;
        }
        let now_ms = self.clock.now_ms();
        self.book.borrow_mut().merge(now_ms, news)
    }

    /// Logs bans that are new here, with what speaks for them, and those that are over.
    pub fn log_bans(&self) {
        let now_ms = self.clock.now_ms();
        let book = self.book.borrow();
        let banned: HashSet<Fingerprint> = book.banned(now_ms).into_iter().collect();
        let mut logged = self.logged.borrow_mut();
        for fingerprint in banned.difference(&logged) {
            let verdict = book.verdict(now_ms, fingerprint);
            let until = verdict.banned_until().unwrap_or_default();
            let targets = book.targets(fingerprint);
            let targets: Vec<String> = targets.iter().map(Incarnation::to_string).collect();
            log::warn!(
                target: "quarantine",
                "Request banned. fingerprint={fingerprint} deaths={} for_ms={} incarnations={}",
                verdict.deaths(),
                until.saturating_sub(now_ms),
                targets.join(",")
            );
        }
        for fingerprint in logged.difference(&banned) {
            log::info!(target: "quarantine", "Ban over. fingerprint={fingerprint}");
        }
        *logged = banned;
    }
}
