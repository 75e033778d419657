//! Tokens reserved for one request, settled on drop.

use std::rc::Rc;

use crate::ledger::{TokenLedger, TokenSource};
use crate::metadata::TokenWork;

/// The maximum cost of a request and its cost so far, in tokens.
///
/// A request costs its prompt once, however often it runs, and the output that was delivered to its
/// client. If nothing was delivered, it costs nothing; with
/// [whole delivery](Self::with_whole_delivery), neither does an incomplete answer.
#[derive(Debug)]
pub struct Reservation {
    ledger: Rc<TokenLedger>,
    /// Id of the client's attempt, for logs.
    id: String,
    account: String,
    work: TokenWork,
    tokens_per_event: u64,
    source: TokenSource,
    /// Number of events delivered, over all runs.
    event_count: u64,
    is_complete: bool,
    /// Whether the client gets nothing of an incomplete answer.
    is_delivered_whole: bool,
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
            source,
            event_count: 0,
            is_complete: false,
            is_delivered_whole: false,
        }
    }

    /// Charges a complete answer only, for a client to whom the answer is delivered whole or not at
    /// all.
    pub fn with_whole_delivery(mut self) -> Self {
        self.is_delivered_whole = true;
        self
    }

    /// Counts an event that is delivered.
    pub fn count_event(&mut self) {
        self.event_count += 1;
    }

    /// Notes that the answer is complete.
    pub fn mark_complete(&mut self) {
        self.is_complete = true;
    }

    /// Returns the cost of the request, in tokens.
    fn cost(&self) -> u64 {
        let is_nothing_delivered = self.event_count == 0 || self.is_delivered_whole;
        if is_nothing_delivered && !self.is_complete {
            return 0;
        }
        let output = self.event_count.saturating_mul(self.tokens_per_event);
        self.work.prompt + output.min(self.work.max_output)
    }

    /// Logs what a request costs that was delivered in part.
    fn log_partial(&self, cost: u64) {
        if self.is_complete || cost == 0 {
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
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let cost = self.cost();
        self.log_partial(cost);
        self.ledger
            .settle(&self.source, &self.account, self.work.max_total(), cost);
    }
}
