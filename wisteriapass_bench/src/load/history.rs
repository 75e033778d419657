//! History of the calls of all callers with their times, for checks and statistics.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use derive_more::Display;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::{Call, Outcome};

/// ID of a call within a history.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CallId(pub u64);

/// An event of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// An attempt was sent.
    Sent {
        /// Address that it was sent to.
        to: SocketAddr,
        /// The call.
        call: Box<Call>,
    },
    /// The first piece of the answer arrived.
    FirstPiece,
    /// The attempt ended.
    Ended(Outcome),
}

/// One entry of a history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Time of the event, in microseconds since the history began.
    pub at_us: u64,
    /// The call.
    pub call: CallId,
    /// Number of the attempt of the call, from 1.
    pub attempt: u32,
    /// The event.
    pub event: Event,
}

/// Events of the calls of all callers, in the order in which they were recorded.
pub struct History {
    began_at: Instant,
    next_call_id: AtomicU64,
    entries: Mutex<Entries>,
}

#[derive(Default)]
struct Entries {
    records: Vec<Record>,
    attempts: HashMap<CallId, u32>,
}

impl Default for History {
    fn default() -> Self {
        Self::new()
    }
}

impl History {
    /// Creates an empty history that begins now.
    pub fn new() -> Self {
        Self {
            began_at: Instant::now(),
            next_call_id: AtomicU64::new(1),
            entries: Mutex::default(),
        }
    }

    /// Returns the ID for a new call.
    pub fn new_call_id(&self) -> CallId {
        CallId(self.next_call_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Records that a call is about to be sent, and returns the number of the attempt.
    pub fn record_sent(&self, to: SocketAddr, call: &Call) -> u32 {
        let mut entries = self.entries.lock();
        let attempt = entries.attempts.entry(call.id).or_default();
        *attempt += 1;
        let attempt = *attempt;
        let boxed_call = Box::new(call.clone());
        let event = Event::Sent {
            to,
            call: boxed_call,
        };
        self.push(&mut entries, call.id, attempt, event);
        attempt
    }

    /// Records that the first piece of an answer arrived.
    pub fn record_first_piece(&self, call: CallId, attempt: u32) {
        self.push(&mut self.entries.lock(), call, attempt, Event::FirstPiece);
    }

    /// Records the outcome of an attempt.
    pub fn record_ended(&self, call: CallId, attempt: u32, outcome: Outcome) {
        let event = Event::Ended(outcome);
        self.push(&mut self.entries.lock(), call, attempt, event);
    }

    /// Returns all records so far.
    pub fn records(&self) -> Vec<Record> {
        self.entries.lock().records.clone()
    }

    fn push(&self, entries: &mut Entries, call: CallId, attempt: u32, event: Event) {
        let at_us = u64::try_from(self.began_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        entries.records.push(Record {
            at_us,
            call,
            attempt,
            event,
        });
    }
}
