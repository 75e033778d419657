//! This router's copy of the shared quarantine.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use wisteriapass_coord::quarantine::{
    Cursor, Fingerprint, Incarnation, Quarantine, QuarantineDelta, Verdict,
};

use crate::prelude::*;

/// Maximum number of routers whose state is tracked: more than there are relays at any time.
const MAX_PEERS: usize = 256;

/// A router's quarantine call; the answer contains the other router's changes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QuarantineCall {
    /// Changes that the receiver may not have.
    pub delta: QuarantineDelta,
    /// Position up to which the caller knows the receiver's quarantine.
    pub known: Cursor,
    /// Whether the caller sends its changes to all relays itself.
    pub is_relay: bool,
}

/// How far this router and a peer know each other's quarantine.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// Position up to which this router knows the peer's quarantine.
    received: Cursor,
    /// Sequence number up to which the peer knows this router's quarantine.
    acknowledged: u64,
}

/// This router's copy of the quarantine, and how far its peers know it.
#[derive(Debug)]
pub struct SharedQuarantine {
    clock: Clock,
    quarantine: RefCell<Quarantine>,
    peers: RefCell<HashMap<SocketAddr, Peer>>,
    /// Bans that were logged.
    logged_bans: RefCell<HashSet<Fingerprint>>,
    /// Wakes the task that sends changes to relays.
    pub changed: Notify,
}

impl SharedQuarantine {
    /// Creates an empty quarantine.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            quarantine: RefCell::new(Quarantine::new(rand::random())),
            peers: RefCell::default(),
            logged_bans: RefCell::default(),
            changed: Notify::new(),
        }
    }

    /// Returns whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.quarantine.borrow().is_empty()
    }

    /// Returns the verdict on a fingerprint.
    pub fn verdict(&self, fingerprint: &Fingerprint) -> Verdict {
        let quarantine = self.quarantine.borrow();
        quarantine.verdict(self.clock.now_ms(), fingerprint)
    }

    /// Returns the verdict on a prompt part in a request that has all of `request`.
    pub fn verdict_in(&self, part: &Fingerprint, request: &[Fingerprint]) -> Verdict {
        let quarantine = self.quarantine.borrow();
        quarantine.verdict_in(self.clock.now_ms(), part, request)
    }

    /// Records that a target died with a fingerprint in flight; returns the new verdict.
    pub fn record_death(
        &self,
        at_ms: u64,
        fingerprint: Fingerprint,
        incarnation: Incarnation,
    ) -> Verdict {
        let is_new = self
            .quarantine
            .borrow_mut()
            .record_death(at_ms, fingerprint, incarnation);
        if is_new {
            self.changed.notify_one();
        }
        self.verdict(&fingerprint)
    }

    /// Records that a request completed.
    pub fn record_completion(&self, fingerprint: Fingerprint) {
        let now_ms = self.clock.now_ms();
        if self
            .quarantine
            .borrow_mut()
            .record_completion(now_ms, fingerprint)
        {
            log::info!(target: "quarantine", "Ran to a whole answer. fingerprint={fingerprint}");
            self.changed.notify_one();
        }
    }

    /// Records that a target wrote an answer to a prompt with a part, and lives.
    pub fn record_answer(&self, part: Fingerprint) {
        let now_ms = self.clock.now_ms();
        if self.quarantine.borrow_mut().record_answer(now_ms, part) {
            log::info!(target: "quarantine", "Prompt part answered. fingerprint={part}");
            self.changed.notify_one();
        }
    }

    /// Returns whether a peer may not have all changes of this quarantine.
    pub fn is_behind(&self, at: SocketAddr) -> bool {
        let acknowledged = self.peers.borrow().get(&at).map_or(0, |p| p.acknowledged);
        acknowledged < self.quarantine.borrow().cursor().seq
    }

    /// Creates the call that sends a peer the changes that it lacks.
    pub fn call_for(&self, at: SocketAddr, is_relay: bool) -> QuarantineCall {
        let peer = self.peers.borrow().get(&at).copied().unwrap_or_default();
        let quarantine = self.quarantine.borrow();
        let known_to_peer = Cursor {
            seq: peer.acknowledged,
            ..quarantine.cursor()
        };
        QuarantineCall {
            delta: quarantine.delta_since(known_to_peer, self.clock.now_ms()),
            known: peer.received,
            is_relay,
        }
    }

    /// Applies a peer's answer to a call.
    pub fn apply_answer(&self, at: SocketAddr, call: &QuarantineCall, answer: &QuarantineDelta) {
        let mut peers = self.peers.borrow_mut();
        if peers.len() >= MAX_PEERS {
            peers.clear();
        }
        let peer = peers.entry(at).or_default();
        let process = answer.cursor.process;
        let is_first = call.known == Cursor::default();
        if !is_first && call.known.process != process {
            // Another process now listens at this address: everything is sent to and requested from
            // it again.
            *peer = Peer::default();
        } else {
            let is_same = peer.received.process == process;
            let acknowledged = if is_same { peer.acknowledged } else { 0 };
            peer.acknowledged = acknowledged.max(call.delta.cursor.seq);
            peer.received = answer.cursor;
        }
        drop(peers);
        // The answer may clear requests that this router has reported to all relays.
        if self.merge(answer) && call.is_relay {
            self.changed.notify_one();
        }
    }

    /// Handles a peer's call; returns the changes that the peer lacks.
    pub fn handle_call(&self, call: &QuarantineCall) -> QuarantineDelta {
        if self.merge(&call.delta) && !call.is_relay {
            self.changed.notify_one();
        }
        let quarantine = self.quarantine.borrow();
        quarantine.delta_since(call.known, self.clock.now_ms())
    }

    /// Runs the maintenance of the quarantine and logs the bans that began or ended.
    pub fn maintain(&self) {
        self.quarantine.borrow_mut().maintain(self.clock.now_ms());
        self.log_bans();
    }

    fn merge(&self, delta: &QuarantineDelta) -> bool {
        if delta.histories.is_empty() {
            return false;
        }
        let now_ms = self.clock.now_ms();
        self.quarantine.borrow_mut().merge(now_ms, delta)
    }

    /// Logs new bans with their evidence, and bans that ended.
    pub fn log_bans(&self) {
        let now_ms = self.clock.now_ms();
        let quarantine = self.quarantine.borrow();
        let banned: HashSet<Fingerprint> = quarantine.banned(now_ms).into_iter().collect();
        let mut logged_bans = self.logged_bans.borrow_mut();
        for fingerprint in banned.difference(&logged_bans) {
            let verdict = quarantine.verdict(now_ms, fingerprint);
            let until = verdict.banned_until().unwrap_or_default();
            let targets = quarantine.targets(fingerprint);
            let targets: Vec<String> = targets.iter().map(Incarnation::to_string).collect();
            log::warn!(
                target: "quarantine",
                "Request banned. fingerprint={fingerprint} deaths={} for_ms={} incarnations={}",
                verdict.deaths(),
                until.saturating_sub(now_ms),
                targets.join(",")
            );
        }
        for fingerprint in logged_bans.difference(&banned) {
            log::info!(target: "quarantine", "Ban over. fingerprint={fingerprint}");
        }
        *logged_bans = banned;
    }
}
