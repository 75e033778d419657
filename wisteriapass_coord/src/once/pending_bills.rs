//! Bills that no router has written to the key-value service yet.

use std::collections::BTreeMap;

use crate::Millis;
use crate::once::{Bill, RunId};

/// A bill and the time from which any router may take it.
#[derive(Clone, Debug)]
struct PendingBill {
    bill: Bill,
    hand_over_at: Millis,
}

/// Bills of a side process that have not been acknowledged.
///
/// Handing a bill to two routers is harmless, because bills form a set keyed by run.
#[derive(Debug, Default)]
pub struct PendingBills {
    pending: BTreeMap<RunId, PendingBill>,
}

impl PendingBills {
    /// Creates an empty set of pending bills.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a bill, unless the run has one already.
    ///
    /// Any router may take the bill if it has not been acknowledged by `hand_over_at`.
    pub fn insert(&mut self, bill: Bill, hand_over_at: Millis) {
        let run = bill.run.clone();
        let pending = PendingBill { bill, hand_over_at };
        self.pending.entry(run).or_insert(pending);
    }

    /// Returns all pending bills.
    pub fn all(&self) -> impl Iterator<Item = &Bill> {
        self.pending.values().map(|p| &p.bill)
    }

    /// Returns the pending bill of a run.
    pub fn find(&self, run: &RunId) -> Option<&Bill> {
        self.pending.get(run).map(|p| &p.bill)
    }

    /// Removes bills that have been written to the key-value service.
    pub fn acknowledge<'a>(&mut self, runs: impl IntoIterator<Item = &'a RunId>) {
        for run in runs {
            self.pending.remove(run);
        }
    }

    /// Returns up to `max_count` bills that any router may write at `now`.
    ///
    /// Provisional bills are left out until they are confirmed.
    pub fn due_for_handover(&self, now: Millis, max_count: usize) -> Vec<Bill> {
        let due = self.pending.values().filter(|p| p.hand_over_at <= now);
        let confirmed = due.filter(|p| !p.bill.is_provisional);
        confirmed.take(max_count).map(|p| p.bill.clone()).collect()
    }

    /// Returns up to `max_count` provisional bills, whose requests have yet to be claimed.
    pub fn provisional(&self, max_count: usize) -> Vec<Bill> {
        let bills = self.pending.values().map(|p| &p.bill);
        let provisional = bills.filter(|b| b.is_provisional);
        provisional.take(max_count).cloned().collect()
    }

    /// Marks the bill of a run as no longer provisional.
    pub fn confirm(&mut self, run: &RunId) {
        if let Some(pending) = self.pending.get_mut(run) {
            pending.bill.is_provisional = false;
        }
    }

    /// Removes and returns a provisional bill, because another run of the request has the claim.
    pub fn void(&mut self, run: &RunId) -> Option<Bill> {
        let is_provisional = self.pending.get(run).is_some_and(|p| p.bill.is_provisional);
        is_provisional
            .then(|| self.pending.remove(run).map(|p| p.bill))
            .flatten()
    }

    /// Returns the number of pending bills.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether no bill is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
