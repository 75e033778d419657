//! Bills that no router has flushed to the service yet.

use std::collections::BTreeMap;

use crate::Millis;
use crate::once::{Bill, RunId};

/// A bill and when it is handed to any router.
#[derive(Clone, Debug)]
struct Open {
    bill: Bill,
    hand_over_at: Millis,
}

/// Bills of a side process that wait for an acknowledgement.
///
/// Handing a bill to two routers does no harm: bills are a set by run.
#[derive(Debug, Default)]
pub struct PendingBills {
    open: BTreeMap<RunId, Open>,
}

impl PendingBills {
    /// Creates an empty book.
    pub fn new() -> Self {
        Self::default()
    }

    /// Enters a bill; unless its own router acknowledges it by `hand_over_at`, any may take it.
    pub fn insert(&mut self, bill: Bill, hand_over_at: Millis) {
        let run = bill.run.clone();
        let open = Open { bill, hand_over_at };
        self.open.entry(run).or_insert(open);
    }

    /// Returns all open bills.
    pub fn all(&self) -> impl Iterator<Item = &Bill> {
        self.open.values().map(|o| &o.bill)
    }

    /// Returns the bill of a run, if it is open here.
    pub fn find(&self, run: &RunId) -> Option<&Bill> {
        self.open.get(run).map(|o| &o.bill)
    }

    /// Strikes bills that are in the service now.
    pub fn acknowledge<'a>(&mut self, runs: impl IntoIterator<Item = &'a RunId>) {
        for run in runs {
            self.open.remove(run);
        }
    }

    /// Returns up to `most` bills that any router may flush at `now`; provisional ones wait until
    /// they are confirmed or voided.
    pub fn due_for_handover(&self, now: Millis, most: usize) -> Vec<Bill> {
        let due = self.open.values().filter(|o| o.hand_over_at <= now);
        let firm = due.filter(|o| !o.bill.is_provisional);
        firm.take(most).map(|o| o.bill.clone()).collect()
    }

    /// Returns up to `most` bills that need their claim.
    pub fn provisional(&self, most: usize) -> Vec<Bill> {
        let bills = self.open.values().map(|o| &o.bill);
        let provisional = bills.filter(|b| b.is_provisional);
        provisional.take(most).cloned().collect()
    }

    /// Makes a provisional bill count.
    pub fn confirm(&mut self, run: &RunId) {
        if let Some(open) = self.open.get_mut(run) {
            open.bill.is_provisional = false;
        }
    }

    /// Drops a provisional bill: another run of the request has the claim.
    pub fn void(&mut self, run: &RunId) -> Option<Bill> {
        let is_provisional = self.open.get(run).is_some_and(|o| o.bill.is_provisional);
        is_provisional
            .then(|| self.open.remove(run).map(|o| o.bill))
            .flatten()
    }

    /// Returns the number of open bills.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether no bill is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
