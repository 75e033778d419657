//! Tokens reserved for one request, settled on drop.

use std::rc::Rc;
use std::time::Duration;

use smallvec::{SmallVec, smallvec};
use tokio::time::Instant;

use crate::ledger::{TokenLedger, TokenSource};
use crate::metadata::TokenWork;

/// Time since the last event within which a target is certain to notice that its stream was closed,
/// in milliseconds: several times the usual interval between events.
const CONNECTED_MS: u64 = 300;

/// Number of events that such a target may have sent before it notices the close: those of one
/// round trip and of a step or two.
const EVENTS_IN_FLIGHT: u64 = 6;

/// The maximum cost of a request and its cost so far, in tokens.
///
/// A run whose end is unknown is charged in full: a target behind a network partition may continue
/// to the end.
#[derive(Debug)]
pub struct Reservation {
    ledger: Rc<TokenLedger>,
    /// Id of the client's attempt, for logs.
    id: String,
    account: String,
    work: TokenWork,
    tokens_per_event: u64,
    /// The reserved amounts and where they come from.
    parts: SmallVec<[(TokenSource, u64); 1]>,
    /// Output of previous runs whose end is unknown.
    unknown_output: u64,
    is_sent: bool,
    event_count: u64,
    last_event: Option<Instant>,
    is_complete: bool,
}

impl Reservation {
    /// Creates a reservation for work whose maximum cost is already reserved in the ledger.
    pub fn new(
        ledger: Rc<TokenLedger>,
        id: String,
        account: String,
        work: TokenWork,
        tokens_per_event: u64,
        source: TokenSource,
    ) -> Self {
        Self {
            ledger,
            id,
            account,
            work,
            tokens_per_event,
            parts: smallvec![(source, work.max_total())],
            unknown_output: 0,
            is_sent: false,
            event_count: 0,
            last_event: None,
            is_complete: false,
        }
    }

    /// Notes that a target may run the request: from here on, the prompt is charged.
    pub fn mark_sent(&mut self) {
        self.is_sent = true;
    }

    /// Notes that no target has run the request.
    pub fn mark_not_run(&mut self) {
        self.is_sent = false;
    }

    /// Reserves the output of another run, after a run whose end is unknown.
    ///
    /// Returns whether the tokens were available.
    pub async fn reserve_rerun(&mut self) -> bool {
        let output = self.work.max_output;
        let Some(source) = self.ledger.reserve_additional(&self.account, output).await else {
            return false;
        };
        self.parts.push((source, output));
        self.unknown_output += output;
        self.event_count = 0;
        self.last_event = None;
        true
    }

    /// Counts an event that arrived.
    pub fn count_event(&mut self) {
        self.event_count += 1;
        self.last_event = Some(Instant::now());
    }

    /// Notes that the answer is complete.
    pub fn mark_complete(&mut self) {
        self.is_complete = true;
    }

    /// Logs what a request without a complete answer costs.
    fn log_incomplete(&self, cost: u64) {
        let has_run = self.is_sent || cost > 0;
        if self.is_complete || !has_run {
            return;
        }
        log::info!(
            target: "money",
            "Settled without a complete answer. request={} account={} prompt={} events={} cost={cost}",
            self.id,
            self.account,
            self.work.prompt,
            self.event_count
        );
    }

    /// Returns the cost of the request, in tokens.
    fn cost(&self) -> u64 {
        if !self.is_sent {
            return 0;
        }
        let output = self.max_events() * self.tokens_per_event;
        self.work.prompt + self.unknown_output + output.min(self.work.max_output)
    }

    /// Returns the maximum number of events that the last run can have produced.
    fn max_events(&self) -> u64 {
        if self.is_complete {
            return self.event_count;
        }
        let is_recent = |at: Instant| at.elapsed() < Duration::from_millis(CONNECTED_MS);
        if self.last_event.is_some_and(is_recent) {
            return self.event_count + EVENTS_IN_FLIGHT;
        }
        u64::MAX / self.tokens_per_event.max(1)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut left = self.cost();
        self.log_incomplete(left);
        for (source, reserved) in self.parts.drain(..) {
            let used = left.min(reserved);
            left -= used;
            self.ledger.settle(source, &self.account, reserved, used);
        }
    }
}
