//! Shares of the accounts in one record, and the state of their exchange.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use wisteriapass_coord::prepaid::{AccountStatus, Lenders, LoanRequests, ShareHolder, ShareRecord};

use super::combined_write::CarriedShare;
use super::reserve_share::RESERVE_WAIT_MS;
use crate::refusal::Refusal;

/// Retry delay if other routers hold the remaining tokens, in milliseconds. They return what they
/// don't need with their next exchange, and two exchanges make it visible here.
const RETRY_IN_CONTACT_MS: u64 = 1_200;

/// Shortest retry delay if a sealed part is about to open, in milliseconds.
const MIN_RETRY_SEALED_MS: u64 = 200;

/// Retry delay if nothing is available while the router is cut off from the store, in milliseconds:
/// partitions last for seconds.
const RETRY_PARTITIONED_MS: u64 = 4_000;

/// The accounts of one record.
pub(super) struct AccountGroup {
    pub(super) holder: RefCell<ShareHolder>,
    /// Signals that an exchange is needed.
    pub(super) exchange_needed: Notify,
    /// Signals that an exchange, loan or report ended.
    pub(super) progress: Notify,
    /// Whether this process is in contact with the store: the record is known and contains its last
    /// write.
    pub(super) in_contact: Cell<bool>,
    /// Time at which the last write of this process was confirmed.
    pub(super) confirmed_at: Cell<Instant>,
    /// Value of `confirmed_at` at the end of the last pause.
    pub(super) confirmed_at_pause_end: Cell<Instant>,
    /// Duration of the last store write.
    pub(super) write_duration: Cell<Duration>,
    /// Earliest time of the next exchange.
    pub(super) next_exchange_at: Cell<Instant>,
    /// The record as of the last exchange.
    pub(super) record: RefCell<ShareRecord>,
    /// Routers that recently had nothing to lend.
    pub(super) lenders: RefCell<Lenders>,
    /// Loans in progress and their retry state.
    pub(super) loan_requests: RefCell<LoanRequests>,
    /// Signals that a report to the witnesses is needed.
    pub(super) report_due: Notify,
    /// Addresses at which no witness answered, and the time until which they are skipped.
    pub(super) skipped_witnesses: RefCell<HashMap<SocketAddr, Instant>>,
    /// Process of the predecessor whose witnesses were asked.
    pub(super) inquired_process: Cell<Option<u64>>,
    /// Whether a write sent by this relay is in progress.
    pub(super) is_writing: Cell<bool>,
    /// This relay's share in another relay's write.
    pub(super) carried: RefCell<Option<CarriedShare>>,
    /// Whether the outcome of such a write is unknown.
    pub(super) is_outcome_unknown: Cell<bool>,
    /// Relays that did not answer a request for their share, and the time until which they are
    /// skipped.
    pub(super) skipped_relays: RefCell<HashMap<SocketAddr, Instant>>,
    /// Sum of the losses of predecessors that was logged last, in tokens.
    pub(super) logged_losses: Cell<Option<u64>>,
}

impl AccountGroup {
    /// Creates the group of a process that has made no exchange yet.
    pub(super) fn new(holder: ShareHolder) -> Self {
        let now = Instant::now();
        Self {
            holder: RefCell::new(holder),
            exchange_needed: Notify::new(),
            progress: Notify::new(),
            in_contact: Cell::new(false),
            confirmed_at: Cell::new(now),
            confirmed_at_pause_end: Cell::new(now),
            write_duration: Cell::new(Duration::ZERO),
            next_exchange_at: Cell::new(Instant::now()),
            record: RefCell::default(),
            lenders: RefCell::default(),
            loan_requests: RefCell::default(),
            report_due: Notify::new(),
            skipped_witnesses: RefCell::default(),
            inquired_process: Cell::new(None),
            is_writing: Cell::new(false),
            carried: RefCell::default(),
            is_outcome_unknown: Cell::new(false),
            skipped_relays: RefCell::default(),
            logged_losses: Cell::new(None),
        }
    }

    /// Returns whether no request in progress uses the shares.
    pub(super) fn is_idle(&self) -> bool {
        self.holder.borrow().is_idle()
    }

    /// Returns whether no exchange has granted anything of an account yet.
    pub(super) fn has_no_grant(&self, account: &str) -> bool {
        self.holder.borrow().account_status(account).granted == 0
    }

    /// Has an exchange made if one is due, for waiting requests or because too much could be lost.
    pub(super) fn request_exchange_if_due(&self, now_ms: u64) {
        let holder = self.holder.borrow();
        if holder.is_due() || holder.holds_too_much(now_ms) {
            self.exchange_needed.notify_one();
        }
    }

    /// Returns whether the store answers and an exchange is due.
    pub(super) fn awaits_exchange(&self) -> bool {
        self.in_contact.get() && self.holder.borrow().is_due()
    }

    /// Returns whether an exchange completes within the time that a request waits.
    pub(super) fn is_exchange_soon(&self) -> bool {
        let limit = Duration::from_millis(RESERVE_WAIT_MS / 2);
        let wait = self
            .next_exchange_at
            .get()
            .saturating_duration_since(Instant::now());
        wait + self.write_duration.get() < limit
    }

    /// Returns the status of an account, for log lines.
    pub(super) fn account_status(&self, account: &str) -> AccountStatus {
        self.holder.borrow().account_status(account)
    }

    /// Returns the refusal of a request that the share does not cover.
    pub(super) fn shortfall_refusal(&self, account: &str, max_cost: u64) -> Refusal {
        Refusal::ShareShort {
            retry_after_ms: self.retry_after_ms(account, max_cost),
        }
    }

    /// Returns the delay after which the share may cover a request, in milliseconds.
    fn retry_after_ms(&self, account: &str, max_cost: u64) -> u64 {
        if self.in_contact.get() {
            return RETRY_IN_CONTACT_MS;
        }
        let unseals = self.holder.borrow().unseals_in_ms(account, max_cost);
        unseals.map_or(RETRY_PARTITIONED_MS, |ms| ms.max(MIN_RETRY_SEALED_MS))
    }
}
