//! Bills on their way from the side processes to the service.

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
    /// Bills of other routers' runs, which need a claim before they count.
    foreign: BTreeMap<RunId, Bill>,
    sent: Option<Batch>,
    next: u64,
    /// Side process to be asked next for bills.
    turn: Option<usize>,
}

/// Bills of this router's runs, and of others' that died, until the service has them.
#[derive(Debug, Default)]
pub(super) struct BillQueue {
    state: Mutex<State>,
}

impl BillQueue {
    /// Takes a bill in; one that waits already changes nothing.
    pub(super) fn enter(&self, bill: Bill) {
        let run = bill.run.clone();
        self.state.lock().waiting.entry(run).or_insert(bill);
    }

    /// Keeps a bill of another router's run until it is claimed.
    fn keep_foreign(&self, bill: Bill) {
        let mut state = self.state.lock();
        if !state.waiting.contains_key(&bill.run) {
            state.foreign.insert(bill.run.clone(), bill);
        }
    }

    /// Returns whose turn it is to be asked for bills, from a random beginning.
    fn next_turn(&self) -> usize {
        let mut state = self.state.lock();
        let turn = state.turn.unwrap_or_else(|| rand::random::<u16>().into());
        state.turn = Some(turn + 1);
        turn
    }

    fn foreign(&self) -> Vec<Bill> {
        self.state.lock().foreign.values().cloned().collect()
    }

    fn forget_foreign(&self, run: &RunId) {
        self.state.lock().foreign.remove(run);
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

impl MoneyManager {
    /// Writes the bills that wait, and tells the side processes that made them.
    pub(super) fn flush_bills(&self) {
        while let Some(batch) = self.bills.next_batch() {
            let ledger = BillLedger::new(self.store.as_ref(), self.bill_writer);
            if let Err(e) = ledger.write_batch(batch.number, &batch.bills) {
                log::warn!(target: "money", "Cannot write bills. cause={e}");
                return;
            }
            self.bills.written(&batch);
            self.acknowledge(&batch.bills);
        }
    }

    /// Takes bills over from one side process whose routers have died, each in its turn.
    pub(super) fn collect_open_bills(&self) {
        let document = self.peers.document();
        let targets = &document.inventory.target;
        let turn = self.bills.next_turn();
        let Some(target) = turn.checked_rem(targets.len()).map(|i| &targets[i]) else {
            return;
        };
        let open = self
            .peers
            .caller()
            .call(target.side_control, |c| async move { c.open_bills().await });
        for bill in open.unwrap_or_default() {
            self.bills.keep_foreign(bill);
        }
    }

    /// Takes the open bills of a side process that stops.
    pub fn take_bills(&self, bills: Vec<Bill>) {
        for bill in bills {
            self.bills.keep_foreign(bill);
        }
    }

    /// Keeps the bill of a run that another router sent, in case that one has died.
    pub fn add_foreign_bill(&self, bill: &RunBill) {
        if let Some(bill) = to_bill(bill) {
            self.bills.keep_foreign(bill);
        }
    }

    /// Claims the bills of other routers' runs; a request that another run is billed for is not
    /// billed again.
    pub fn claim_foreign_bills(&self, locator: &RunLocator) {
        for bill in self.bills.foreign() {
            match locator.claim_bill(&bill.run, &bill.place) {
                Some(true) => self.bills.enter(bill.clone()),
                Some(false) => self.acknowledge(std::slice::from_ref(&bill)),
                None => return,
            }
            self.bills.forget_foreign(&bill.run);
        }
    }

    fn acknowledge(&self, bills: &[Bill]) {
        let document = self.peers.document();
        for (side, runs) in by_keeper(&document, bills) {
            let Some(target) = document.inventory.target_named(&side) else {
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

/// Returns which side processes keep which bills: their owners, and the homes of their runs.
fn by_keeper(document: &Document, bills: &[Bill]) -> BTreeMap<String, Vec<RunId>> {
    let mut by_keeper = BTreeMap::<String, Vec<RunId>>::new();
    for bill in bills {
        let mut keepers = homes_in(document, &bill.run);
        if !keepers.contains(&bill.place.side) {
            keepers.push(bill.place.side.clone());
        }
        for keeper in keepers {
            by_keeper.entry(keeper).or_default().push(bill.run.clone());
        }
    }
    by_keeper
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
