//! The history of a run: what callers sent, got and when; for checkers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use derive_more::Display;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::{Call, Outcome};

/// Identity of a call within a history.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CallId(pub u64);

/// Something that happened to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// It was sent.
    Sent {
        /// Where to.
        to: SocketAddr,
        /// What was asked.
        call: Box<Call>,
    },
    /// The first piece of its answer came.
    FirstPiece,
    /// It ended.
    Ended(Outcome),
}

/// One line of a history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// When, in microseconds since the history began.
    pub at_us: u64,
    /// Which call.
    pub call: CallId,
    /// Which try of it, from 1.
    pub attempt: u32,
    /// What happened.
    pub event: Event,
}

/// What callers sent and got, in the order in which it happened.
pub struct History {
    began_at: Instant,
    next_call: AtomicU64,
    lines: Mutex<Lines>,
}

#[derive(Default)]
struct Lines {
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
            next_call: AtomicU64::new(1),
            lines: Mutex::default(),
        }
    }

    /// Returns an identity for a new call.
    pub fn new_call_id(&self) -> CallId {
        CallId(self.next_call.fetch_add(1, Ordering::Relaxed))
    }

    /// Records that a call is about to be sent; returns which try of it this is.
    pub fn sent(&self, to: SocketAddr, call: &Call) -> u32 {
        let mut lines = self.lines.lock();
        let attempt = lines.attempts.entry(call.id).or_default();
        *attempt += 1;
        let attempt = *attempt;
        let call_sent = Box::new(call.clone());
        let event = Event::Sent {
            to,
            call: call_sent,
        };
        self.push(&mut lines, call.id, attempt, event);
        attempt
    }

    /// Records the first piece of an answer.
    pub fn first_piece(&self, call: CallId, attempt: u32) {
        self.push(&mut self.lines.lock(), call, attempt, Event::FirstPiece);
    }

    /// Records how a try ended.
    pub fn ended(&self, call: CallId, attempt: u32, outcome: Outcome) {
        let event = Event::Ended(outcome);
        self.push(&mut self.lines.lock(), call, attempt, event);
    }

    /// Returns all records so far.
    pub fn records(&self) -> Vec<Record> {
        self.lines.lock().records.clone()
    }

    fn push(&self, lines: &mut Lines, call: CallId, attempt: u32, event: Event) {
        let at_us = u64::try_from(self.began_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        lines.records.push(Record {
            at_us,
            call,
            attempt,
            event,
        });
    }
}
