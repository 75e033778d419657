//! A target: its entry, its availability, and what this router has under way there.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;
use tokio::time::Instant;
use wisteriapass_policy::LatencyHistory;
use wisteriapass_policy::cold_start::SendLog;
use wisteriapass_policy::placement::FailureScore;

use crate::cached_parts::CachedParts;
use crate::pool::Pool;

/// Longest time for which a target is taken for cold by one word of it, in milliseconds.
const MAX_COLD_MS: u64 = 60_000;

new_key_type! {
    /// Names a target in the arena.
    pub struct TargetKey;
}

/// Id of a target; a target that starts anew may keep it.
#[derive(
    Clone, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TargetId(pub String);

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Its id.
    pub id: TargetId,
    /// Service that it serves.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// Unix milliseconds of its start, if it tells.
    pub started_ms: Option<u64>,
    /// Time for which it stays cold, in milliseconds from when it said so.
    pub cold_ms: u64,
}

/// Whether a target may get new work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Availability {
    /// It may.
    Open,
    /// Its entry went around an outage of the service; it may until then.
    Missing(Instant),
    /// It may not any more.
    Closed,
}

/// A target as this router knows it.
#[derive(Debug)]
pub struct Target {
    /// What it said last.
    pub entry: TargetEntry,
    /// Whether it may get new work.
    pub availability: Availability,
    /// This router's requests there.
    pub running: Cell<u32>,
    /// Prompt tokens of those whose answer has not begun.
    pub pending_prefill_tokens: Cell<u64>,
    /// When it last sent a byte, or a request when nothing was under way.
    pub last_received_at: Cell<Instant>,
    /// Failures of late.
    pub failures: RefCell<FailureScore>,
    /// How long its requests took of late.
    pub service_times: RefCell<LatencyHistory>,
    /// Prompt parts that this router had it read of late.
    pub cached_parts: RefCell<CachedParts>,
    /// Idle connections.
    pub pool: RefCell<Pool>,
    /// When this router sent its last requests there.
    pub send_log: RefCell<SendLog>,
    /// Until when it is cold, by its own word.
    cold_until: Cell<Instant>,
    /// Since when it may be cold without having said so.
    possible_restart_at: Cell<Option<Instant>>,
}

impl Target {
    /// Creates a target that is open unless its entry says that it leaves.
    pub fn new(entry: TargetEntry, now: Instant) -> Self {
        let availability = availability(&entry);
        let cold_until = cold_until(&entry, now);
        Self {
            entry,
            availability,
            running: Cell::new(0),
            pending_prefill_tokens: Cell::new(0),
            last_received_at: Cell::new(now),
            failures: RefCell::default(),
            service_times: RefCell::default(),
            cached_parts: RefCell::default(),
            pool: RefCell::default(),
            send_log: RefCell::default(),
            cold_until: Cell::new(cold_until),
            possible_restart_at: Cell::new(None),
        }
    }

    /// Takes a newer entry of the same start of the target in.
    pub fn set_entry(&mut self, entry: TargetEntry, now: Instant) {
        if self.availability != Availability::Open {
            self.suspect_restart(now);
        }
        self.availability = availability(&entry);
        self.cold_until.set(cold_until(&entry, now));
        self.entry = entry;
    }

    /// Notes that it may have become cold without a word of it.
    pub fn suspect_restart(&self, now: Instant) {
        self.possible_restart_at.set(Some(now));
    }

    /// Notes its word that it stays cold for this long.
    pub fn set_cold(&self, cold_ms: u64, now: Instant) {
        self.cold_until
            .set(now + Duration::from_millis(cold_ms.min(MAX_COLD_MS)));
    }

    /// Returns whether it is cold, or may be, where targets are for `start_ms` after a start.
    pub fn is_cold(&self, start_ms: u64, now: Instant) -> bool {
        let restarted = self.possible_restart_at.get();
        let may_be = restarted.is_some_and(|at| now < at + Duration::from_millis(start_ms));
        may_be || now < self.cold_until.get()
    }

    /// Returns the time since it sent anything, while requests of this router are under way there, in
    /// milliseconds.
    pub fn silent_ms(&self) -> u64 {
        let silent = self.last_received_at.get().elapsed().as_millis() as u64;
        if self.running.get() > 0 { silent } else { 0 }
    }

    /// Returns whether it may get new work at `now`.
    pub fn is_open(&self, now: Instant) -> bool {
        match self.availability {
            Availability::Open => true,
            Availability::Missing(until) => now < until,
            Availability::Closed => false,
        }
    }

    /// Returns whether an entry is of another start, or at another place.
    pub fn is_different_instance(&self, entry: &TargetEntry) -> bool {
        let mine = &self.entry;
        mine.started_ms != entry.started_ms
            || mine.address != entry.address
            || mine.service != entry.service
    }
}

fn cold_until(entry: &TargetEntry, now: Instant) -> Instant {
    now + Duration::from_millis(entry.cold_ms.min(MAX_COLD_MS))
}

fn availability(entry: &TargetEntry) -> Availability {
    if entry.draining {
        return Availability::Closed;
    }
    Availability::Open
}
