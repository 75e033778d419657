//! Money set aside for one request, settled when it is dropped.

use std::rc::Rc;
use std::time::Duration;

use smallvec::{SmallVec, smallvec};
use tokio::time::Instant;

use crate::facts::TokenWork;
use crate::ledger::{TokenLedger, TokenSource};

/// Time since the last event within which a target is sure to see that its stream was closed, in
/// milliseconds: several times the usual pause between events.
const IN_TOUCH_MS: u64 = 300;

/// Events that such a target may have sent before it sees the close: those of a round trip and of
/// a step or two.
const EVENTS_ON_THE_WAY: u64 = 6;

/// The most that a request can cost, and what it has cost so far, in tokens.
///
/// A run whose end is not known is paid in full: behind a cut its target may go on to the end.
#[derive(Debug)]
pub struct Reservation {
    bank: Rc<TokenLedger>,
    account: String,
    work: TokenWork,
    per_event: u64,
    /// What is set aside, and where.
    parts: SmallVec<[(TokenSource, u64); 1]>,
    /// Output of runs before, whose end is not known.
    lost: u64,
    sent: bool,
    events: u64,
    last_event: Option<Instant>,
    ended: bool,
}

impl Reservation {
    /// Creates one for work whose most the bank has set aside.
    pub fn new(
        bank: Rc<TokenLedger>,
        account: String,
        work: TokenWork,
        per_event: u64,
        source: TokenSource,
    ) -> Self {
        Self {
            bank,
            account,
            work,
            per_event,
            parts: smallvec![(source, work.most())],
            lost: 0,
            sent: false,
            events: 0,
            last_event: None,
            ended: false,
        }
    }

    /// Notes that a target may run it: the prompt is paid from here on.
    pub fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Notes that no target has run it.
    pub fn mark_not_run(&mut self) {
        self.sent = false;
    }

    /// Sets the output of another run aside, after one whose end is not known.
    ///
    /// Returns whether there is money for it.
    pub async fn reserve_rerun(&mut self) -> bool {
        let output = self.work.max_output;
        let Some(source) = self.bank.reserve_more(&self.account, output).await else {
            return false;
        };
        self.parts.push((source, output));
        self.lost += output;
        self.events = 0;
        self.last_event = None;
        true
    }

    /// Notes an event that arrived.
    pub fn count_event(&mut self) {
        self.events += 1;
        self.last_event = Some(Instant::now());
    }

    /// Notes that the answer arrived whole.
    pub fn mark_complete(&mut self) {
        self.ended = true;
    }

    /// Returns what it has cost, in tokens.
    fn used(&self) -> u64 {
        if !self.sent {
            return 0;
        }
        let output = self.events_made() * self.per_event;
        self.work.prompt + self.lost + output.min(self.work.max_output)
    }

    /// Returns the most events that the last run can have made.
    fn events_made(&self) -> u64 {
        if self.ended {
            return self.events;
        }
        let in_touch = |at: Instant| at.elapsed() < Duration::from_millis(IN_TOUCH_MS);
        if self.last_event.is_some_and(in_touch) {
            return self.events + EVENTS_ON_THE_WAY;
        }
        u64::MAX / self.per_event.max(1)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut left = self.used();
        for (source, most) in self.parts.drain(..) {
            let used = left.min(most);
            left -= used;
            self.bank.settle(source, &self.account, most, used);
        }
    }
}
