//! Queue of bills from the side processes to the store.

use std::collections::BTreeMap;

use parking_lot::Mutex;
use wisteriapass_config::Document;
use wisteriapass_coord::budget::Tokens;
use wisteriapass_coord::once::{Bill, BillLedger, Place, RunId};

use crate::router::MoneyManager;
use crate::router::run_locator::RunLocator;
use crate::rpc::SideControlClient;
use crate::run_wire::RunBill;
use crate::side::homes_in;

/// Maximum number of bills in one batch, which keeps it far below the maximum size of a value.
const MAX_BATCH_SIZE: usize = 1_000;

/// A batch that may already be in the store.
#[derive(Clone, Debug)]
struct Batch {
    number: u64,
    bills: Vec<Bill>,
}

#[derive(Debug, Default)]
struct QueueState {
    queued: BTreeMap<RunId, Bill>,
    /// Bills of runs of other routers, which need a claim before they count.
    foreign: BTreeMap<RunId, Bill>,
    in_flight: Option<Batch>,
    last_batch: u64,
    /// Index of the side process that is asked next for open bills.
    next_side: Option<usize>,
}

/// Bills of the runs of this router and of dead routers, kept until they are in the store.
#[derive(Debug, Default)]
pub(super) struct BillQueue {
    state: Mutex<QueueState>,
}

impl BillQueue {
    /// Adds a bill; has no effect if the queue has a bill of the same run.
    pub(super) fn add(&self, bill: Bill) {
        let run = bill.run.clone();
        self.state.lock().queued.entry(run).or_insert(bill);
    }

    /// Adds a bill of another router's run, which is kept until it is claimed.
    fn add_foreign(&self, bill: Bill) {
        let mut state = self.state.lock();
        if !state.queued.contains_key(&bill.run) {
            state.foreign.insert(bill.run.clone(), bill);
        }
    }

    /// Returns the index of the next side process to ask for open bills, in turn from a random
    /// start.
    fn next_side_index(&self) -> usize {
        let mut state = self.state.lock();
        let index = state
            .next_side
            .unwrap_or_else(|| rand::random::<u16>().into());
        state.next_side = Some(index + 1);
        index
    }

    fn foreign(&self) -> Vec<Bill> {
        self.state.lock().foreign.values().cloned().collect()
    }

    fn remove_foreign(&self, run: &RunId) {
        self.state.lock().foreign.remove(run);
    }

    /// Returns the batch to write: the last one again until the store has confirmed it.
    fn next_batch(&self) -> Option<Batch> {
        let mut state = self.state.lock();
        if state.in_flight.is_none() && !state.queued.is_empty() {
            state.last_batch += 1;
            let bills = state.queued.values().take(MAX_BATCH_SIZE).cloned();
            state.in_flight = Some(Batch {
                number: state.last_batch,
                bills: bills.collect(),
            });
        }
        state.in_flight.clone()
    }

    fn mark_written(&self, batch: &Batch) {
        let mut state = self.state.lock();
        state.in_flight = None;
        for bill in &batch.bills {
            state.queued.remove(&bill.run);
        }
    }
}

impl MoneyManager {
    /// Writes the queued bills to the store, and acknowledges them to the side processes that keep
    /// them.
    pub(super) fn flush_bills(&self) {
        while let Some(batch) = self.bills.next_batch() {
            let ledger = BillLedger::new(self.store.as_ref(), self.bill_origin);
            if let Err(e) = ledger.write_batch(batch.number, &batch.bills) {
                log::warn!(target: "money", "Cannot write bills. cause={e}");
                return;
            }
            self.bills.mark_written(&batch);
            self.acknowledge(&batch.bills);
        }
    }

    /// Collects the open bills of dead routers from one side process, the next one at each call.
    pub(super) fn collect_open_bills(&self) {
        let document = self.peers.document();
        let targets = &document.inventory.target;
        let index = self.bills.next_side_index();
        let Some(target) = index.checked_rem(targets.len()).map(|i| &targets[i]) else {
            return;
        };
        let open_bills = self
            .peers
            .rpc()
            .call(target.side_control, |c| async move { c.open_bills().await });
        for bill in open_bills.unwrap_or_default() {
            self.bills.add_foreign(bill);
        }
    }

    /// Takes over the open bills of a side process that is stopping.
    pub fn take_bills(&self, bills: Vec<Bill>) {
        for bill in bills {
            self.bills.add_foreign(bill);
        }
    }

    /// Adds the bill of a run that another router dispatched, in case that router has died.
    pub fn add_foreign_bill(&self, bill: &RunBill) {
        if let Some(bill) = to_bill(bill) {
            self.bills.add_foreign(bill);
        }
    }

    /// Claims the bills of runs of other routers; a request is not billed again if another run of
    /// it is billed.
    pub fn claim_foreign_bills(&self, locator: &RunLocator) {
        for bill in self.bills.foreign() {
            match locator.claim_bill(&bill.run, &bill.place) {
                Some(true) => self.bills.add(bill.clone()),
                Some(false) => self.acknowledge(std::slice::from_ref(&bill)),
                None => return,
            }
            self.bills.remove_foreign(&bill.run);
        }
    }

    fn acknowledge(&self, bills: &[Bill]) {
        let document = self.peers.document();
        for (side, runs) in runs_by_keeper(&document, bills) {
            let Some(target) = document.inventory.target_named(&side) else {
                continue;
            };
            // If the call fails, the bill is collected again, which has no effect.
            let _ =
                self.peers.rpc().call(
                    target.side_control,
                    |c| async move { c.acknowledge(runs).await },
                );
        }
    }
}

/// Groups runs by the side processes that keep their bills: the owner, and the homes of the run.
fn runs_by_keeper(document: &Document, bills: &[Bill]) -> BTreeMap<String, Vec<RunId>> {
    let mut runs_by_keeper = BTreeMap::<String, Vec<RunId>>::new();
    for bill in bills {
        let mut keepers = homes_in(document, &bill.run);
        if !keepers.contains(&bill.place.side) {
            keepers.push(bill.place.side.clone());
        }
        for keeper in keepers {
            runs_by_keeper
                .entry(keeper)
                .or_default()
                .push(bill.run.clone());
        }
    }
    runs_by_keeper
}

/// Converts the bill of a run to the format of the store; none if the run was free.
pub(super) fn to_bill(bill: &RunBill) -> Option<Bill> {
    let payment = bill.payment.as_deref().filter(|_| bill.amount > 0)?;
    let (side, incarnation) = bill.ran_at.split_once('/')?;
    Some(Bill {
        run: RunId::from_text(&bill.run),
        place: Place::new(side, incarnation),
        account: bill.account.clone(),
        payment: payment.clone(),
        amount: Tokens(bill.amount),
        is_provisional: false,
    })
}
