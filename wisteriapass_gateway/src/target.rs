//! A target: its entry, its standing, and what this router has under way there.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;
use tokio::time::Instant;
use wisteriapass_policy::ServiceTimes;
use wisteriapass_policy::placement::Trouble;

use crate::kept_parts::KeptParts;
use crate::pool::Pool;

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
    pub domain: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Unix milliseconds of its start, if it tells.
    pub born: Option<u64>,
}

/// Whether a target may get new work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Standing {
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
    pub standing: Standing,
    /// This router's requests there.
    pub running: Cell<u32>,
    /// Prompt tokens of those whose answer has not begun.
    pub unread: Cell<u64>,
    /// When it last sent a byte, or a request when nothing was under way.
    pub heard: Cell<Instant>,
    /// Failures of late.
    pub trouble: RefCell<Trouble>,
    /// How long its requests took of late.
    pub times: RefCell<ServiceTimes>,
    /// Prompt parts that this router had it read of late.
    pub kept: RefCell<KeptParts>,
    /// Idle connections.
    pub pool: RefCell<Pool>,
}

impl Target {
    /// Creates a target that is open unless its entry says that it leaves.
    pub fn new(entry: TargetEntry, now: Instant) -> Self {
        let standing = standing(&entry);
        Self {
            entry,
            standing,
            running: Cell::new(0),
            unread: Cell::new(0),
            heard: Cell::new(now),
            trouble: RefCell::default(),
            times: RefCell::default(),
            kept: RefCell::default(),
            pool: RefCell::default(),
        }
    }

    /// Takes a newer entry of the same start of the target in.
    pub fn set_entry(&mut self, entry: TargetEntry) {
        self.standing = standing(&entry);
        self.entry = entry;
    }

    /// Returns whether it may get new work at `now`.
    pub fn is_open(&self, now: Instant) -> bool {
        match self.standing {
            Standing::Open => true,
            Standing::Missing(until) => now < until,
            Standing::Closed => false,
        }
    }

    /// Returns whether an entry is of another start, or at another place.
    pub fn is_other(&self, entry: &TargetEntry) -> bool {
        let mine = &self.entry;
        mine.born != entry.born || mine.address != entry.address || mine.service != entry.service
    }
}

fn standing(entry: &TargetEntry) -> Standing {
    if entry.leaving {
        return Standing::Closed;
    }
    Standing::Open
}
