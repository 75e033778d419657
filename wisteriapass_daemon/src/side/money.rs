//! Money of the runs of this side process: refuses fenced money, counts what was spent, and keeps
//! bills until they are acknowledged.

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

/// Time after which a bill that its run's router has not acknowledged is handed to other routers,
/// in milliseconds.
///
/// A running router writes it within two seconds. Until another router has it too, it is lost if
/// both the router and the side process fail, so the time is short.
const HAND_OVER_MS: u64 = 4_000;

/// The same for a copy, in milliseconds. A copy is needed only if both the router and the side
/// process of the run failed.
const COPY_HAND_OVER_MS: u64 = 8_000;

/// Maximum number of bills handed to a router in one call.
const MAX_BILLS: usize = 500;

/// Delay after a failed call to the key-value service, in milliseconds.
const RETRY_DELAY_MS: u64 = 100;

#[derive(Default)]
struct State {
    usage: OriginUsage,
    /// Payments of active runs, by run.
    running: HashMap<String, Payment>,
    pending_bills: PendingBills,
    /// Bills that have not been copied to the homes of their runs.
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

    /// Registers this incarnation and reads which origins are fenced. Retries until the key-value
    /// service answers, because without the list a fenced router's money could be spent again.
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
                    std::thread::sleep(Duration::from_millis(RETRY_DELAY_MS));
                }
            }
        }
    }

    /// Admits a run unless it is paid with fenced money.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if any of the money is fenced.
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

    /// Counts the cost of an ended run, and keeps its bill until it is in the key-value service.
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
        state
            .pending_bills
            .insert(bill, clock::now().plus(HAND_OVER_MS));
    }

    /// Refuses work paid from an origin from now on, and returns what was spent of it.
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

    /// Takes the bills that have not been copied to other side processes.
    pub fn take_uncopied(&self) -> Vec<Bill> {
        std::mem::take(&mut self.state.lock().uncopied)
    }

    /// Keeps copies of bills of other side processes.
    pub fn keep_copies(&self, bills: Vec<Bill>) {
        let hand_over_at = clock::now().plus(COPY_HAND_OVER_MS);
        let mut state = self.state.lock();
        for bill in bills {
            state.pending_bills.insert(bill, hand_over_at);
        }
    }

    /// Returns the unacknowledged bill of a run, or its copy.
    pub fn bill(&self, run: &RunId) -> Option<Bill> {
        self.state.lock().pending_bills.find(run).cloned()
    }

    /// Returns all bills and copies that are not known to be in the key-value service.
    pub fn all_bills(&self) -> Vec<Bill> {
        self.state.lock().pending_bills.all().cloned().collect()
    }

    /// Returns bills that the routers of their runs have not acknowledged in time.
    pub fn open_bills(&self) -> Vec<Bill> {
        self.state
            .lock()
            .pending_bills
            .due_for_handover(clock::now(), MAX_BILLS)
    }

    /// Drops bills that are in the key-value service.
    pub fn acknowledge(&self, runs: &[RunId]) {
        self.state.lock().pending_bills.acknowledge(runs);
    }
}
