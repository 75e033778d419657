//! Targets: their entries, their availability, and this router's state for each.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;
use tokio::time::Instant;
use wisteriapass_coord::origin::Software;
use wisteriapass_policy::placement::FailureScore;
use wisteriapass_policy::rest;
use wisteriapass_policy::target_limit::TargetLimit;
use wisteriapass_policy::target_speed::TargetSpeed;
use wisteriapass_policy::{LatencyHistory, SendLog, Time};

use crate::cached_parts::CachedParts;
use crate::pool::Pool;

/// Maximum time for which one statement of a target marks it as cold, in milliseconds.
const MAX_COLD_MS: u64 = 60_000;

/// Time for which a target's statements are remembered after its entry was removed, in milliseconds:
/// longer than outages after which an entry returns.
const MEMORY_MS: u64 = 600_000;

new_key_type! {
    /// Key of a target in the arena.
    pub struct TargetKey;
}

/// Id of a target; may be kept across a restart of the target.
#[derive(
    Clone, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TargetId(pub String);

/// Entry that a target publishes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Its id.
    pub id: TargetId,
    /// Service that it serves.
    pub service: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is draining.
    pub draining: bool,
    /// Start time in Unix milliseconds, if stated.
    pub started_ms: Option<u64>,
    /// Time for which it stays cold, in milliseconds from when it stated so.
    pub cold_ms: u64,
    /// Version of its software.
    pub version: String,
}

/// Whether a target may get new requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Availability {
    /// It may get new requests.
    Open,
    /// Its entry disappeared around an outage of the store; it may get new requests until then.
    Missing(Instant),
    /// It gets no new requests.
    Closed,
}

/// Limit that a target named.
#[derive(Clone, Copy, Debug)]
pub struct NamedLimit {
    /// The limit.
    pub limit: TargetLimit,
    /// When the target last named it to this router itself.
    pub named_at: Time,
}

/// This router's state of a target.
#[derive(Debug)]
pub struct Target {
    /// Latest entry.
    pub entry: TargetEntry,
    /// Whether it may get new requests.
    pub availability: Availability,
    /// Number of this router's running requests.
    pub running: Cell<u32>,
    /// Prompt tokens of the running requests whose response has not begun.
    pub pending_prompt_tokens: Cell<u64>,
    /// When it last sent a byte, or was sent a request while none was running.
    pub last_received_at: Cell<Instant>,
    /// Recent failures.
    pub failures: RefCell<FailureScore>,
    /// Recent durations of its requests.
    pub latencies: RefCell<LatencyHistory>,
    /// How slow it is.
    pub speed: RefCell<TargetSpeed>,
    /// Whether its lasting slowness was logged and has not ended.
    pub is_slow: Cell<bool>,
    /// Prompt parts that this router recently sent there.
    pub cached_parts: RefCell<CachedParts>,
    /// Idle connections.
    pub pool: RefCell<Pool>,
    /// When this router recently sent requests there.
    pub send_log: RefCell<SendLog>,
    /// Limit that it names, if any.
    pub limit: Cell<Option<NamedLimit>>,
    /// Whether it stated that it leaves, which holds until it ends.
    is_leaving: Cell<bool>,
    /// End of the rest that it asked for.
    resting_until: Cell<Instant>,
    /// When it may be forgotten, after its entry was removed.
    forget_at: Option<Instant>,
    /// End of the time for which it stated to be cold.
    cold_until: Cell<Instant>,
    /// When it may have restarted, and so be cold without having stated it.
    possible_restart_at: Cell<Option<Instant>>,
}

impl Target {
    /// Creates a target that is open unless its entry states that it is draining.
    pub fn new(entry: TargetEntry, now: Instant) -> Self {
        let availability = availability(&entry);
        let cold_until = cold_until(&entry, now);
        Self {
            entry,
            availability,
            running: Cell::new(0),
            pending_prompt_tokens: Cell::new(0),
            last_received_at: Cell::new(now),
            failures: RefCell::default(),
            latencies: RefCell::default(),
            speed: RefCell::default(),
            is_slow: Cell::new(false),
            cached_parts: RefCell::default(),
            pool: RefCell::default(),
            send_log: RefCell::default(),
            limit: Cell::new(None),
            is_leaving: Cell::new(false),
            resting_until: Cell::new(now),
            forget_at: None,
            cold_until: Cell::new(cold_until),
            possible_restart_at: Cell::new(None),
        }
    }

    /// Applies a newer entry of the same instance.
    pub fn set_entry(&mut self, entry: TargetEntry, now: Instant) {
        if self.availability != Availability::Open {
            self.suspect_restart(now);
        }
        self.availability = availability(&entry);
        if entry.draining && !self.entry.draining {
            log::info!(target: "targets", "Target leaves. target={} source=entry", entry.id);
        }
        self.cold_until.set(cold_until(&entry, now));
        self.forget_at = None;
        self.entry = entry;
    }

    /// Records that its entry was removed, or replaced by that of another instance.
    pub fn set_entry_removed(&mut self, now: Instant) {
        self.forget_at
            .get_or_insert(now + Duration::from_millis(MEMORY_MS));
    }

    /// Returns whether it has an entry.
    pub fn has_entry(&self) -> bool {
        self.forget_at.is_none()
    }

    /// Returns whether it has to be remembered because of what it stated: an entry that returns must
    /// not end it.
    pub fn is_remembered(&self, now: Instant) -> bool {
        let is_leaving = self.is_leaving.get() || self.entry.draining;
        let is_resting = now < self.resting_until();
        (is_leaving || is_resting) && self.forget_at.is_none_or(|at| now < at)
    }

    /// Returns the end of the rest that it asked for, which may be past.
    pub fn resting_until(&self) -> Instant {
        self.resting_until.get()
    }

    /// Records that the target may have restarted, and so be cold without having stated it.
    pub fn suspect_restart(&self, now: Instant) {
        self.possible_restart_at.set(Some(now));
    }

    /// Records that a request is sent to it.
    pub fn record_sent(&self, now: Time) {
        self.send_log.borrow_mut().record(now);
        if let Some(mut named) = self.limit.get() {
            named.limit.record_sent(now);
            self.limit.set(Some(named));
        }
    }

    /// Records the target's statement that it leaves.
    pub fn set_leaving(&self) {
        if !self.is_leaving.replace(true) {
            log::info!(target: "targets", "Target leaves. target={} source=answer", self.entry.id);
        }
    }

    /// Records that it asked for no requests for this long. A later end that it asked for before
    /// remains.
    pub fn set_resting(&self, asked_ms: u64, now: Instant) {
        let until = now + Duration::from_millis(rest::rest_ms(asked_ms));
        if until <= self.resting_until.get() {
            return;
        }
        if self.resting_until.replace(until) <= now {
            log::info!(
                target: "targets",
                "Target rests. target={} asked_ms={asked_ms}",
                self.entry.id
            );
        }
    }

    /// Records the target's statement that it stays cold for this long.
    pub fn set_cold(&self, cold_ms: u64, now: Instant) {
        self.cold_until
            .set(now + Duration::from_millis(cold_ms.min(MAX_COLD_MS)));
    }

    /// Returns whether it is or may be cold, where targets are cold for `start_ms` after a start.
    pub fn is_cold(&self, start_ms: u64, now: Instant) -> bool {
        let restarted = self.possible_restart_at.get();
        let may_be = restarted.is_some_and(|at| now < at + Duration::from_millis(start_ms));
        may_be || now < self.cold_until.get()
    }

    /// Returns the time since it last sent anything, in milliseconds; 0 without running requests.
    pub fn silent_ms(&self) -> u64 {
        let silent = self.last_received_at.get().elapsed().as_millis() as u64;
        if self.running.get() > 0 { silent } else { 0 }
    }

    /// Returns whether it may get new requests at `now`. Its own statement that it leaves takes
    /// precedence over its entry, which may be older.
    pub fn is_open(&self, now: Instant) -> bool {
        if self.is_leaving.get() {
            return false;
        }
        match self.availability {
            Availability::Open => true,
            Availability::Missing(until) => now < until,
            Availability::Closed => false,
        }
    }

    /// Returns whether an entry is of another instance: of another start, address,
    /// service or software version.
    pub fn is_different_instance(&self, entry: &TargetEntry) -> bool {
        let mine = &self.entry;
        mine.started_ms != entry.started_ms
            || mine.address != entry.address
            || mine.service != entry.service
            || mine.version != entry.version
    }

    /// Returns its software.
    pub fn software(&self) -> Software {
        Software::new(&self.entry.service, &self.entry.version)
    }

    /// Returns whether it runs this software.
    pub fn runs(&self, software: &Software) -> bool {
        software.is(&self.entry.service, &self.entry.version)
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
