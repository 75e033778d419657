//! Money of this router: reserved before a dispatch, settled with the bill.
//!
//! Requests draw on the wallet. A keeper thread exchanges money with the records of the service;
//! a request that finds the wallet short waits for the keeper's next round, then asks other
//! routers, and is refused as soon as neither has enough.

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

/// Longest wait for money, in milliseconds; a caller is told sooner where the answer is known.
const MONEY_WAIT_MS: u64 = 3_000;

/// Longest wait for reservations to settle, in milliseconds: about as long as a typical run.
const SETTLE_MS: u64 = 2_000;

/// What the last exchange said of a budget.
#[derive(Clone, Copy, Debug)]
struct BudgetStatus {
    free: Tokens,
    prepaid: Tokens,
    refused_until: Instant,
}

/// What the wallet's lock guards.
struct WalletState {
    wallet: Wallet,
    /// Largest single need of requests that wait for money.
    pending_needs: BTreeMap<BudgetId, Tokens>,
    known: BTreeMap<BudgetId, BudgetStatus>,
    /// Rounds that the keeper began.
    rounds_started: u64,
    /// Rounds that the keeper ended.
    rounds_finished: u64,
    /// Whether the last round reached the service.
    store_answered: bool,
}

/// Money held by this router.
pub struct MoneyManager {
    started: Instant,
    held: Mutex<WalletState>,
    round: Condvar,
    settled: Condvar,
    journal: Mutex<Arc<Journal>>,
    /// Whether the origin in use is registered, without which it takes no money.
    registered: AtomicBool,
    bills: BillQueue,
    bill_writer: Origin,
    size: GrantPolicy,
    store: Box<dyn Store>,
    peers: Peers,
    wake: Sender<()>,
    woken: Receiver<()>,
}

impl Service for MoneyManager {
    const NAME: &'static str = "money";
}

impl MoneyManager {
    /// Creates the money of an incarnation, which holds none.
    pub fn new(origin: Origin, store: Box<dyn Store>, peers: Peers) -> Self {
        let (wake, woken) = flume::bounded(1);
        let held = WalletState {
            wallet: Wallet::new(origin),
            pending_needs: BTreeMap::new(),
            known: BTreeMap::new(),
            rounds_started: 0,
            rounds_finished: 0,
            store_answered: false,
        };
        Self {
            started: Instant::now(),
            held: Mutex::new(held),
            round: Condvar::new(),
            settled: Condvar::new(),
            journal: Mutex::new(Arc::new(Journal::new(origin, Shards::default()))),
            registered: AtomicBool::new(false),
            bills: BillQueue::default(),
            bill_writer: origin,
            size: GrantPolicy::new(),
            store,
            peers,
            wake,
            woken,
        }
    }

    /// Returns the incarnation that takes money from the service.
    pub fn origin(&self) -> Origin {
        self.journal.lock().writer()
    }

    /// Returns the memory of the origin in use.
    fn journal(&self) -> Arc<Journal> {
        self.journal.lock().clone()
    }

    /// Returns the budget records.
    fn ledger<'a>(&'a self, journal: &'a Journal) -> Ledger<'a> {
        Ledger::new(self.store.as_ref(), journal)
    }

    /// Reserves the worst case of a request; waits for money until `deadline` at the latest.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] as soon as it is known that there is not enough.
    pub fn reserve(
        &self,
        budget: &BudgetId,
        amount: Tokens,
        deadline: Instant,
    ) -> Result<Reservation, Refusal> {
        let deadline = deadline.min(Instant::now() + Duration::from_millis(MONEY_WAIT_MS));
        loop {
            if let Some(reservation) = self.try_reserve(budget, amount) {
                return Ok(reservation);
            }
            let shortage = self.wait_for_round(budget, amount, deadline);
            // Others may have been quicker to take what the round brought.
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

    /// Waits for reservations of this router to settle below their worst case; the last tokens of a
    /// budget are mostly reserved and not spent.
    fn wait_for_settlement(
        &self,
        budget: &BudgetId,
        amount: Tokens,
        deadline: Instant,
    ) -> Option<Reservation> {
        let deadline = deadline.min(Instant::now() + Duration::from_millis(SETTLE_MS));
        let mut held = self.held.lock();
        loop {
            let reserved = held.wallet.reserved(budget);
            if held.wallet.held(budget) + reserved < amount {
                return None;
            }
            let now = self.now();
            if let Ok(reservation) = held.wallet.reserve(budget, amount, now) {
                return Some(reservation);
            }
            if self.settled.wait_until(&mut held, deadline).timed_out() {
                return None;
            }
        }
    }

    /// Settles a reservation with the bill of its run.
    ///
    /// A run that an earlier dispatch paid costs this one nothing.
    pub fn settle(&self, reservation: Reservation, bill: &RunBill) {
        if let Some(bill) = to_bill(bill) {
            self.bills.enter(bill);
        }
        if !bill.is_paid_by(reservation.payment()) {
            return self.release(reservation);
        }
        let settled = self
            .held
            .lock()
            .wallet
            .settle(reservation, Tokens(bill.amount));
        self.settled.notify_all();
        if !settled.excess.is_zero() {
            log::error!(target: "money", "A bill exceeds its reservation. run={}", bill.run);
        }
    }

    /// Gives back a reservation whose request did not run and will not.
    pub fn release(&self, reservation: Reservation) {
        self.held.lock().wallet.release(reservation);
        self.settled.notify_all();
    }

    /// Answers another router that ran dry.
    pub fn lend(&self, ask: &TransferRequest) -> Transfer {
        self.held.lock().wallet.send_transfer(ask)
    }

    fn try_reserve(&self, budget: &BudgetId, amount: Tokens) -> Option<Reservation> {
        let now = self.now();
        self.held.lock().wallet.reserve(budget, amount, now).ok()
    }

    /// Time of the wallet's meters.
    fn now(&self) -> Millis {
        let since = self.started.elapsed().as_millis();
        Millis(u64::try_from(since).unwrap_or(u64::MAX))
    }

    /// Has the keeper ask for money, and waits until it did.
    fn wait_for_round(&self, budget: &BudgetId, amount: Tokens, deadline: Instant) -> Shortage {
        let mut held = self.held.lock();
        if let Some(known) = held.known.get(budget)
            && known.refused_until > Instant::now()
            && known.free < amount
        {
            return held.shortage(budget);
        }
        let need = held.pending_needs.entry(budget.clone()).or_default();
        *need = amount.max(*need);
        // A round under way may have looked at the needs already.
        let wanted = held.rounds_started + 1;
        let _ = self.wake.try_send(());
        while held.rounds_finished < wanted {
            if self.round.wait_until(&mut held, deadline).timed_out() {
                return Shortage::Unreachable;
            }
        }
        held.shortage(budget)
    }
}

impl WalletState {
    fn shortage(&self, budget: &BudgetId) -> Shortage {
        let known = self.known.get(budget);
        match known {
            _ if !self.store_answered => Shortage::Unreachable,
            Some(k) if k.prepaid.is_zero() => Shortage::NeverToppedUp,
            Some(k) => Shortage::Exhausted {
                free: k.free,
                has_reservations: !self.wallet.reserved(budget).is_zero(),
            },
            None => Shortage::Unreachable,
        }
    }
}
