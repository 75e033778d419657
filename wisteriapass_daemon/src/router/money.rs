//! Prepaid tokens held by this router, here called money: reserved before a dispatch and settled by
//! the bill.
//!
//! Requests are paid from the wallet. The exchange thread exchanges money with the budget records
//! in the store. A request for which the wallet does not suffice waits for the next exchange round,
//! then asks other routers, and is refused as soon as neither has enough.

mod bill_queue;
mod exchange;
mod lease;
mod peers;
mod reaper;
mod shortage;

use std::collections::BTreeMap;
use std::sync::atomic::AtomicBool;

use flume::{Receiver, Sender};
use parking_lot::{Condvar, Mutex};
use wisteriapass_coord::Millis;
use wisteriapass_coord::budget::{
    BudgetId, GrantPolicy, Journal, Ledger, Origin, Reservation, Shards, Tokens, Transfer,
    TransferRequest, Wallet,
};
use wisteriapass_coord::store::Store;

use crate::prelude::*;
use crate::run_wire::RunBill;

use bill_queue::{BillQueue, to_bill};
pub use peers::Peers;
use shortage::Shortage;

/// Maximum wait for money, in milliseconds; a request is refused sooner if the answer is known.
const MAX_RESERVE_WAIT_MS: u64 = 3_000;

/// Maximum wait for reservations to settle, in milliseconds; about the duration of a typical run.
const MAX_SETTLE_WAIT_MS: u64 = 2_000;

/// State of a budget as of the last exchange.
#[derive(Clone, Copy, Debug)]
struct BudgetStatus {
    free: Tokens,
    prepaid: Tokens,
    refused_until: Instant,
}

/// State guarded by the wallet's lock.
struct WalletState {
    wallet: Wallet,
    /// Largest need of a single request that waits for money, by budget.
    pending_needs: BTreeMap<BudgetId, Tokens>,
    statuses: BTreeMap<BudgetId, BudgetStatus>,
    /// Number of exchange rounds started.
    rounds_started: u64,
    /// Number of exchange rounds finished.
    rounds_finished: u64,
    /// Whether the store answered in the last round.
    store_answered: bool,
}

/// Manages the money held by this router.
pub struct MoneyManager {
    started: Instant,
    state: Mutex<WalletState>,
    round_finished: Condvar,
    reservation_settled: Condvar,
    journal: Mutex<Arc<Journal>>,
    /// Whether the current origin is registered; without a registration it gets no grants.
    is_registered: AtomicBool,
    bills: BillQueue,
    bill_origin: Origin,
    grant_policy: GrantPolicy,
    store: Box<dyn Store>,
    peers: Peers,
    wake_tx: Sender<()>,
    wake_rx: Receiver<()>,
}

impl Service for MoneyManager {
    const NAME: &'static str = "money";
}

impl MoneyManager {
    /// Creates the manager of an incarnation, with an empty wallet.
    pub fn new(origin: Origin, store: Box<dyn Store>, peers: Peers) -> Self {
        let (wake_tx, wake_rx) = flume::bounded(1);
        let state = WalletState {
            wallet: Wallet::new(origin),
            pending_needs: BTreeMap::new(),
            statuses: BTreeMap::new(),
            rounds_started: 0,
            rounds_finished: 0,
            store_answered: false,
        };
        Self {
            started: Instant::now(),
            state: Mutex::new(state),
            round_finished: Condvar::new(),
            reservation_settled: Condvar::new(),
            journal: Mutex::new(Arc::new(Journal::new(origin, Shards::default()))),
            is_registered: AtomicBool::new(false),
            bills: BillQueue::default(),
            bill_origin: origin,
            grant_policy: GrantPolicy::new(),
            store,
            peers,
            wake_tx,
            wake_rx,
        }
    }

    /// Returns the origin under which this router gets money from the store.
    pub fn origin(&self) -> Origin {
        self.journal.lock().writer()
    }

    /// Returns the journal of the current origin.
    fn journal(&self) -> Arc<Journal> {
        self.journal.lock().clone()
    }

    /// Returns access to the budget records.
    fn ledger<'a>(&'a self, journal: &'a Journal) -> Ledger<'a> {
        Ledger::new(self.store.as_ref(), journal)
    }

    /// Reserves the maximum cost of a request; waits for money until `deadline` at the latest.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] as soon as it is known that the money does not suffice.
    pub fn reserve(
        &self,
        budget: &BudgetId,
        amount: Tokens,
        deadline: Instant,
    ) -> Result<Reservation, Refusal> {
        let deadline = deadline.min(Instant::now() + Duration::from_millis(MAX_RESERVE_WAIT_MS));
        loop {
            if let Some(reservation) = self.try_reserve(budget, amount) {
                return Ok(reservation);
            }
            let shortage = self.wait_for_round(budget, amount, deadline);
            // Other requests may have reserved what the round brought.
            if shortage.is_transient(amount) && Instant::now() < deadline {
                continue;
            }
            self.borrow(budget, amount, deadline);
            let reservation = self.try_reserve(budget, amount);
            let reservation =
                reservation.or_else(|| self.wait_for_settlement(budget, amount, deadline));
            return reservation.ok_or_else(|| shortage.refusal(budget, amount));
        }
    }

    /// Waits for reservations of this router to settle below their maximum cost; the last tokens of
    /// a budget are mostly reserved, not spent.
    fn wait_for_settlement(
        &self,
        budget: &BudgetId,
        amount: Tokens,
        deadline: Instant,
    ) -> Option<Reservation> {
        let deadline = deadline.min(Instant::now() + Duration::from_millis(MAX_SETTLE_WAIT_MS));
        let mut state = self.state.lock();
        loop {
            let reserved = state.wallet.reserved(budget);
            if state.wallet.held(budget) + reserved < amount {
                return None;
            }
            let now = self.now();
            if let Ok(reservation) = state.wallet.reserve(budget, amount, now) {
                return Some(reservation);
            }
            if self
                .reservation_settled
                .wait_until(&mut state, deadline)
                .timed_out()
            {
                return None;
            }
        }
    }

    /// Settles a reservation with the bill of its run.
    ///
    /// The reservation is released if the run was paid by an earlier dispatch.
    pub fn settle(&self, reservation: Reservation, bill: &RunBill) {
        if let Some(bill) = to_bill(bill) {
            self.bills.add(bill);
        }
        if !bill.is_paid_by(reservation.payment()) {
            return self.release(reservation);
        }
        let settled = self
            .state
            .lock()
            .wallet
            .settle(reservation, Tokens(bill.amount));
        self.reservation_settled.notify_all();
        if !settled.excess.is_zero() {
            log::error!(target: "money", "A bill exceeds its reservation. run={}", bill.run);
        }
    }

    /// Releases the reservation of a request that did not run and will not run.
    pub fn release(&self, reservation: Reservation) {
        self.state.lock().wallet.release(reservation);
        self.reservation_settled.notify_all();
    }

    /// Lends money to another router whose wallet does not suffice.
    pub fn lend(&self, request: &TransferRequest) -> Transfer {
        self.state.lock().wallet.send_transfer(request)
    }

    fn try_reserve(&self, budget: &BudgetId, amount: Tokens) -> Option<Reservation> {
        let now = self.now();
        self.state.lock().wallet.reserve(budget, amount, now).ok()
    }

    /// Returns the time since the start, for the wallet's meters.
    fn now(&self) -> Millis {
        let since = self.started.elapsed().as_millis();
        Millis(u64::try_from(since).unwrap_or(u64::MAX))
    }

    /// Requests money in the next exchange round, and waits for the end of that round.
    fn wait_for_round(&self, budget: &BudgetId, amount: Tokens, deadline: Instant) -> Shortage {
        let mut state = self.state.lock();
        if let Some(status) = state.statuses.get(budget)
            && status.refused_until > Instant::now()
            && status.free < amount
        {
            return state.shortage(budget);
        }
        let need = state.pending_needs.entry(budget.clone()).or_default();
        *need = amount.max(*need);
        // A running round may have read the needs already.
        let awaited_round = state.rounds_started + 1;
        let _ = self.wake_tx.try_send(());
        while state.rounds_finished < awaited_round {
            if self
                .round_finished
                .wait_until(&mut state, deadline)
                .timed_out()
            {
                return Shortage::Unreachable;
            }
        }
        state.shortage(budget)
    }
}

impl WalletState {
    fn shortage(&self, budget: &BudgetId) -> Shortage {
        let status = self.statuses.get(budget);
        match status {
            _ if !self.store_answered => Shortage::Unreachable,
            Some(status) if status.prepaid.is_zero() => Shortage::NeverToppedUp,
            Some(status) => Shortage::Exhausted {
                free: status.free,
                has_reservations: !self.wallet.reserved(budget).is_zero(),
            },
            None => Shortage::Unreachable,
        }
    }
}
