//! Shares of accounts in one record, and what is known of its exchanges.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use wisteriapass_coord::prepaid::{Lenders, LoansAsked, ShareHolder, ShareRecord, Standing};

use super::WAIT_MS;
use super::carrying::Carried;
use crate::refusal::Refusal;

/// When to come back if others hold what is left, in milliseconds: they give back at their next
/// exchange what they don't need, and two exchanges make it plain.
const BACK_IN_TOUCH_MS: u64 = 1_200;

/// When to come back at the earliest if a sealed part opens, in milliseconds.
const BACK_OPENING_MS: u64 = 200;

/// When to come back if nothing is at hand during a cut, in milliseconds: cuts last for seconds.
const BACK_OUT_OF_TOUCH_MS: u64 = 4_000;

/// Shares of accounts in one record.
pub(super) struct Group {
    pub(super) holder: RefCell<ShareHolder>,
    /// Somebody needs an exchange.
    pub(super) needed: Notify,
    /// An exchange ended.
    pub(super) done: Notify,
    /// Whether the record is known and this process signed it.
    pub(super) in_touch: Cell<bool>,
    /// When this process's last write was known to have taken effect.
    pub(super) wrote_at: Cell<Instant>,
    /// The same as of the end of the last pause.
    pub(super) rested_at: Cell<Instant>,
    /// Time that the last exchange took.
    pub(super) took: Cell<Duration>,
    /// Earliest time of the next exchange.
    pub(super) next_at: Cell<Instant>,
    /// The record as of the last exchange.
    pub(super) record: RefCell<ShareRecord>,
    /// Who lent nothing of late.
    pub(super) lenders: RefCell<Lenders>,
    /// Loans asked for.
    pub(super) loans: RefCell<LoansAsked>,
    /// Somebody needs a report to the witnesses.
    pub(super) report_due: Notify,
    /// Until when addresses are passed over where no witness answered.
    pub(super) away: RefCell<HashMap<SocketAddr, Instant>>,
    /// Process whose witnesses were asked.
    pub(super) asked: Cell<Option<u64>>,
    /// Whether a write of this relay's own is under way.
    pub(super) is_writing: Cell<bool>,
    /// This relay's share that another one's write carries.
    pub(super) carried: RefCell<Option<Carried>>,
    /// Whether the outcome of such a write is not known.
    pub(super) is_unsure: Cell<bool>,
    /// Until when relays are not asked for their shares that did not answer.
    pub(super) not_carried: RefCell<HashMap<SocketAddr, Instant>>,
    /// Whether the losses of predecessors are logged.
    pub(super) has_told: Cell<bool>,
}

impl Group {
    /// Creates a record's shares of a process that was not in touch yet.
    pub(super) fn new(holder: ShareHolder) -> Self {
        let now = Instant::now();
        Self {
            holder: RefCell::new(holder),
            needed: Notify::new(),
            done: Notify::new(),
            in_touch: Cell::new(false),
            wrote_at: Cell::new(now),
            rested_at: Cell::new(now),
            took: Cell::new(Duration::ZERO),
            next_at: Cell::new(Instant::now()),
            record: RefCell::default(),
            lenders: RefCell::default(),
            loans: RefCell::default(),
            report_due: Notify::new(),
            away: RefCell::default(),
            asked: Cell::new(None),
            is_writing: Cell::new(false),
            carried: RefCell::default(),
            is_unsure: Cell::new(false),
            not_carried: RefCell::default(),
            has_told: Cell::new(false),
        }
    }

    /// Begins anew with a holder without shares.
    pub(super) fn renew(&self, holder: ShareHolder) {
        self.holder.replace(holder);
        self.in_touch.set(false);
        self.asked.set(None);
        self.has_told.set(false);
        self.rested_at.set(self.wrote_at.get());
        self.is_writing.set(false);
        self.carried.replace(None);
        self.is_unsure.set(false);
    }

    /// Returns whether no request under way draws on the shares.
    pub(super) fn is_idle(&self) -> bool {
        self.holder.borrow().is_idle()
    }

    /// Returns whether no exchange brought anything of an account yet.
    pub(super) fn is_new(&self, account: &str) -> bool {
        self.holder.borrow().standing(account).granted == 0
    }

    /// Returns whether an exchange ends within the time that a request waits.
    pub(super) fn is_quick(&self) -> bool {
        let quick = Duration::from_millis(WAIT_MS / 2);
        let wait = self.next_at.get().saturating_duration_since(Instant::now());
        self.in_touch.get() && wait + self.took.get() < quick
    }

    /// Returns what is known of an account, for logs.
    pub(super) fn standing(&self, account: &str) -> Standing {
        self.holder.borrow().standing(account)
    }

    /// Returns the refusal of a request for which the share is short.
    pub(super) fn short(&self, account: &str, most: u64) -> Refusal {
        Refusal::ShareShort {
            back_ms: self.back_ms(account, most),
        }
    }

    /// Returns when there may be more of a share, in milliseconds.
    fn back_ms(&self, account: &str, most: u64) -> u64 {
        if self.in_touch.get() {
            return BACK_IN_TOUCH_MS;
        }
        let opens = self.holder.borrow().opens_in(account, most);
        opens.map_or(BACK_OUT_OF_TOUCH_MS, |ms| ms.max(BACK_OPENING_MS))
    }
}
