//! Bills on their way from the side processes to the service.

use std::collections::BTreeMap;

use parking_lot::Mutex;
use rand::seq::IndexedRandom;
use wisteriapass_coord::budget::Tokens;
use wisteriapass_coord::once::{Bill, BillLedger, Place, RunId};

use crate::router::Money;
use crate::rpc::SideControlClient;
use crate::run_wire::RunBill;

/// Bills written in one batch, so that a batch stays far below the size of a value.
const MOST_IN_BATCH: usize = 1_000;

/// A batch that may be in the service already.
#[derive(Clone, Debug)]
struct Batch {
    number: u64,
    bills: Vec<Bill>,
}

#[derive(Debug, Default)]
struct State {
    waiting: BTreeMap<RunId, Bill>,
    sent: Option<Batch>,
    next: u64,
}

/// Bills of this router's runs, and of others' that died, until the service has them.
#[derive(Debug, Default)]
pub(super) struct Bills {
    state: Mutex<State>,
}

impl Bills {
    /// Takes a bill in; one that waits already changes nothing.
    pub(super) fn enter(&self, bill: Bill) {
        let run = bill.run.clone();
        self.state.lock().waiting.entry(run).or_insert(bill);
    }

    /// Returns the batch to be written: the last one again until its answer has come.
    fn next_batch(&self) -> Option<Batch> {
        let mut state = self.state.lock();
        if state.sent.is_none() && !state.waiting.is_empty() {
            state.next += 1;
            let bills = state.waiting.values().take(MOST_IN_BATCH).cloned();
            state.sent = Some(Batch {
                number: state.next,
                bills: bills.collect(),
            });
        }
        state.sent.clone()
    }

    fn written(&self, batch: &Batch) {
        let mut state = self.state.lock();
        state.sent = None;
        for bill in &batch.bills {
            state.waiting.remove(&bill.run);
        }
    }
}

impl Money {
    /// Writes the bills that wait, and tells the side processes that made them.
    pub(super) fn flush_bills(&self) {
        while let Some(batch) = self.bills.next_batch() {
            let ledger = BillLedger::new(self.store.as_ref(), self.bill_writer);
            if let Err(e) = ledger.flush(batch.number, &batch.bills) {
                log::warn!(target: "money", "Cannot write bills. cause={e}");
                return;
            }
            self.bills.written(&batch);
            self.acknowledge(&batch.bills);
        }
    }

    /// Takes bills over from one side process whose routers have died.
    pub(super) fn take_over_bills(&self) {
        let document = self.peers.document();
        let Some(target) = document.inventory.target.choose(&mut rand::rng()) else {
            return;
        };
        let open = self
            .peers
            .caller()
            .call(target.side_control, |c| async move { c.open_bills().await });
        for bill in open.unwrap_or_default() {
            self.bills.enter(bill);
        }
    }

    fn acknowledge(&self, bills: &[Bill]) {
        let mut by_side = BTreeMap::<&str, Vec<RunId>>::new();
        for bill in bills {
            let runs = by_side.entry(&bill.place.side).or_default();
            runs.push(bill.run.clone());
        }
        let document = self.peers.document();
        for (side, runs) in by_side {
            let Some(target) = document.inventory.target_named(side) else {
                continue;
            };
            // Without it the bill is handed over once more, which does no harm.
            let _ = self
                .peers
                .caller()
                .call(
                    target.side_control,
                    |c| async move { c.acknowledge(runs).await },
                );
        }
    }
}

/// Returns the bill of a run as the service keeps it; none if it cost nothing.
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
