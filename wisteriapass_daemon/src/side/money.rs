//! Money of the runs here: refused when fenced, counted when spent, billed until acknowledged.

use std::collections::HashMap;

use parking_lot::Mutex;
use wisteriapass_coord::budget::{Origin, Payment, Tokens};
use wisteriapass_coord::fence::{FenceList, Registry, SideAck};
use wisteriapass_coord::once::{Bill, FenceAck, OriginUsage, PendingBills, Place, RunId};
use wisteriapass_coord::store::Store;

use crate::clock;
use crate::prelude::*;
use crate::run_wire::{Dispatch, RunBill};
use crate::shutdown::Shutdown;
use crate::side::SideIdentity;

/// Time for which a bill is left to the router whose run it is, in milliseconds.
///
/// A router that lives writes it within two seconds. Until another has it too, the deaths of router
/// and side process lose it, so this is short.
const HAND_OVER_MS: u64 = 4_000;

/// The same for a copy, which is needed only if router and owner died.
const COPY_HAND_OVER_MS: u64 = 8_000;

/// Bills handed to a router at once.
const MOST_BILLS: usize = 500;

/// Pause after a failed call to the key-value service, in milliseconds.
const PAUSE_MS: u64 = 100;

#[derive(Default)]
struct State {
    usage: OriginUsage,
    running: HashMap<String, Payment>,
    book: PendingBills,
    /// Bills that the homes of their runs have no copy of yet.
    uncopied: Vec<Bill>,
}

/// Money of the runs of one side process.
pub struct SideMoney {
    side: Arc<SideIdentity>,
    state: Mutex<State>,
}

impl Service for SideMoney {
    const NAME: &'static str = "side-money";
}

impl SideMoney {
    /// Creates the money of a side process that has run nothing.
    pub fn new(side: Arc<SideIdentity>) -> Self {
        Self {
            side,
            state: Mutex::default(),
        }
    }

    /// Registers this incarnation and reads which origins are fenced; waits until the service
    /// answers, because without the list a fenced router's money might be spent again.
    pub fn register(&self, store: &dyn Store, stop: &Shutdown) {
        while !stop.is_requested() {
            let registered = Registry::new(store)
                .register_side(&self.side.name, &self.side.incarnation)
                .and_then(|()| FenceList::read(store));
            match registered {
                Ok(list) => {
                    let usage = &mut self.state.lock().usage;
                    list.origins().for_each(|origin| usage.fence(origin));
                    return;
                }
                Err(e) => {
                    log::warn!(target: "money", "Cannot register; nothing is served. cause={e}");
                    std::thread::sleep(Duration::from_millis(PAUSE_MS));
                }
            }
        }
    }

    /// Lets a run begin that is paid with money that is not fenced.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if any of it is fenced.
    pub fn admit(&self, dispatch: &Dispatch) -> Result<(), Refusal> {
        let Some(payment) = &dispatch.payment else {
            return Ok(());
        };
        let mut state = self.state.lock();
        if let Some(origin) = state.usage.fenced_origin(payment) {
            let message = format!("money of origin {origin} was fenced");
            return Err(Refusal::not_run(Reason::MoneyFenced, message));
        }
        state.running.insert(dispatch.run.clone(), payment.clone());
        Ok(())
    }

    /// Counts what an ended run cost, and keeps its bill until it is in the service.
    pub fn record_end(&self, run: &str, bill: Option<RunBill>) {
        let mut state = self.state.lock();
        let Some(payment) = state.running.remove(run) else {
            return;
        };
        let Some(bill) = bill.filter(|b| b.amount > 0) else {
            return;
        };
        state.usage.charge(&payment, Tokens(bill.amount));
        let bill = Bill {
            run: RunId::from_text(run),
            place: Place::new(&self.side.name, &self.side.incarnation),
            account: bill.account,
            payment,
            amount: Tokens(bill.amount),
            is_provisional: false,
        };
        state.uncopied.push(bill.clone());
        state.book.insert(bill, clock::now().plus(HAND_OVER_MS));
    }

    /// Refuses work paid with an origin from now on, and says what was spent of it.
    pub fn fence(&self, origin: Origin) -> SideAck {
        let mut state = self.state.lock();
        state.usage.fence(origin);
        let running = state.running.values().filter(|p| p.includes_origin(origin));
        let ack = FenceAck {
            running: running.count(),
            spent: state.usage.spent_of(origin),
        };
        SideAck {
            incarnation: self.side.incarnation.clone(),
            ack,
        }
    }

    /// Takes out the bills that no other side process has a copy of.
    pub fn take_uncopied(&self) -> Vec<Bill> {
        std::mem::take(&mut self.state.lock().uncopied)
    }

    /// Keeps copies of other side processes' bills.
    pub fn keep_copies(&self, bills: Vec<Bill>) {
        let hand_over_at = clock::now().plus(COPY_HAND_OVER_MS);
        let mut state = self.state.lock();
        for bill in bills {
            state.book.insert(bill, hand_over_at);
        }
    }

    /// Returns the bill of a run, or the copy of it, that is open here.
    pub fn bill(&self, run: &RunId) -> Option<Bill> {
        self.state.lock().book.find(run).cloned()
    }

    /// Returns all bills and copies that are not known to be in the service.
    pub fn all_bills(&self) -> Vec<Bill> {
        self.state.lock().book.all().cloned().collect()
    }

    /// Returns bills that their own routers have not acknowledged in time.
    pub fn open_bills(&self) -> Vec<Bill> {
        self.state
            .lock()
            .book
            .due_for_handover(clock::now(), MOST_BILLS)
    }

    /// Forgets bills that are in the service.
    pub fn acknowledge(&self, runs: &[RunId]) {
        self.state.lock().book.acknowledge(runs);
    }
}
