//! The budget records in the service, changed by compare-and-swap.

use std::collections::BTreeMap;

use crate::budget::journal::{Journal, Seen, Slot};
use crate::budget::{
    Batch, BudgetId, ExchangeOutcome, GrantPolicy, GrantRequest, LedgerError, Lot, Origin, Receipt,
    Record, Result, RetiredTokens, ShardId, SpendingProof, Tokens, Topup, TopupId, Totals,
    UsageReport,
};
use crate::store::{Revision, Store, StoreError, Swap};

/// Tries of one compare-and-swap before it is given up.
///
/// Each failed try means that another writer's took effect, so a record under this many
/// concurrent writers wants more shards.
const ATTEMPTS: u32 = 16;

/// Result of one try of an operation.
enum Tried {
    Done(Receipt),
    Again,
    Lost(StoreError),
}

/// The budget records behind a [`Store`], as one writer changes them.
pub struct Ledger<'a> {
    store: &'a dyn Store,
    journal: &'a Journal,
    size: GrantPolicy,
}

impl<'a> Ledger<'a> {
    /// Reaches the records in `store` as the writer of `journal`.
    pub fn new(store: &'a dyn Store, journal: &'a Journal) -> Self {
        Self {
            store,
            journal,
            size: GrantPolicy::new(),
        }
    }

    /// Makes sure that a budget exists; returns whether it is new.
    ///
    /// # Errors
    ///
    /// [`LedgerError`] if the service gave no answer; repeating is safe.
    pub fn ensure_budget(&self, budget: &BudgetId) -> Result<bool> {
        self.change(self.journal.shards().shard_of(budget), |r| {
            Ok(r.add_budget(budget))
        })
    }

    /// Adds prepaid money, once for each id.
    ///
    /// # Errors
    ///
    /// [`LedgerError`] if the service gave no answer (repeating with the same id is safe) or the
    /// id was used with another amount.
    pub fn topup(&self, budget: &BudgetId, id: &TopupId, amount: Tokens) -> Result<Topup> {
        let shard = self.journal.shards().shard_of(budget);
        self.change(shard, |r| Ok(r.topup(budget, id, amount)?))
    }

    /// Takes a fenced origin's money back in all records, as far as `proof` allows.
    ///
    /// # Errors
    ///
    /// [`LedgerError`] if the service gave no answer; repeating is safe.
    pub fn retire(&self, origin: Origin, proof: &SpendingProof) -> Result<RetiredTokens> {
        let mut sum = RetiredTokens::default();
        for shard in self.journal.shards().all() {
            let retired = self.change(shard, |r| Ok(r.retire(origin, proof)))?;
            sum.recovered += retired.recovered;
            sum.stranded += retired.stranded;
        }
        Ok(sum)
    }

    /// Reads where every budget's money is.
    ///
    /// # Errors
    ///
    /// [`LedgerError`] if the service gave no answer or a record can't be read.
    pub fn totals(&self) -> Result<Vec<Totals>> {
        let mut totals = Vec::new();
        for shard in self.journal.shards().all() {
            let seen = self.read(shard)?;
            totals.extend(seen.record.budgets().map(|(id, b)| Totals::new(id, b)));
        }
        Ok(totals)
    }

    /// Returns whether any record lists an origin, with money or without.
    ///
    /// # Errors
    ///
    /// [`LedgerError`] if the service gave no answer or a record can't be read.
    pub fn lists_origin(&self, origin: Origin) -> Result<bool> {
        for shard in self.journal.shards().all() {
            let seen = self.read(shard)?;
            let mut budgets = seen.record.budgets();
            if budgets.any(|(_, b)| b.origins.contains_key(&origin)) {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Takes grants, one swap for each record.
    pub fn request_grants(&self, wants: Vec<GrantRequest>) -> ExchangeOutcome {
        self.exchange(wants, Vec::new())
    }

    /// Reports what was spent and returned, one swap for each record.
    pub fn send_reports(&self, reports: Vec<UsageReport>) -> ExchangeOutcome {
        self.exchange(Vec::new(), reports)
    }

    /// Reports and takes grants together, one swap for each record.
    ///
    /// Operations whose answers were lost are finished first; their money is among the lots.
    pub fn exchange(&self, wants: Vec<GrantRequest>, reports: Vec<UsageReport>) -> ExchangeOutcome {
        let mut batches = self.pending();
        for want in wants {
            let shard = self.journal.shards().shard_of(&want.budget);
            batches.entry(shard).or_default().requests.push(want);
        }
        for report in reports {
            let shard = self.journal.shards().shard_of(&report.budget);
            batches.entry(shard).or_default().reports.push(report);
        }
        self.run_all(batches)
    }

    /// Reports for the last time and takes this writer off the records.
    pub fn close_writer(&self, reports: Vec<UsageReport>) -> ExchangeOutcome {
        let mut batches = BTreeMap::<ShardId, Batch>::new();
        for shard in self.journal.shards().all() {
            if self.journal.slot(shard).lock().seq > 0 {
                batches.entry(shard).or_default().is_last = true;
            }
        }
        for report in reports {
            let shard = self.journal.shards().shard_of(&report.budget);
            batches.entry(shard).or_default().reports.push(report);
        }
        self.run_all(batches)
    }

    /// Finishes operations whose answers were lost; their money is among the lots.
    pub fn complete_pending(&self) -> ExchangeOutcome {
        self.run_all(self.pending())
    }

    /// Returns an empty batch for each record with an operation whose answer was lost.
    fn pending(&self) -> BTreeMap<ShardId, Batch> {
        let shards = self.journal.shards().all();
        let pending = shards.filter(|s| self.journal.slot(*s).lock().pending.is_some());
        pending.map(|shard| (shard, Batch::default())).collect()
    }

    fn run_all(&self, batches: BTreeMap<ShardId, Batch>) -> ExchangeOutcome {
        let mut exchange = ExchangeOutcome::default();
        for (shard, batch) in batches {
            // The service is down for all records, so waiting for each would only add up.
            if matches!(exchange.error, Some(LedgerError::Store(_))) {
                exchange.unapplied.extend(batch.reports);
                continue;
            }
            self.run(shard, batch, &mut exchange);
        }
        exchange
    }

    fn run(&self, shard: ShardId, batch: Batch, exchange: &mut ExchangeOutcome) {
        let mut slot = self.journal.slot(shard).lock();
        if let Some(pending) = slot.pending.take()
            && let Err(e) = self.finish_one(shard, &mut slot, pending, exchange)
        {
            exchange.unapplied.extend(batch.reports);
            exchange.error = Some(e);
            return;
        }
        if batch.is_empty() {
            return;
        }
        match self.swap_batch(shard, &mut slot, &batch, false) {
            Ok(receipt) => self.book(receipt, exchange),
            Err((e, false)) => {
                exchange.unapplied.extend(batch.reports);
                exchange.error = Some(e);
            }
            Err((e, true)) => {
                slot.pending = Some(batch);
                exchange.error = Some(e);
            }
        }
    }

    fn finish_one(
        &self,
        shard: ShardId,
        slot: &mut Slot,
        pending: Batch,
        exchange: &mut ExchangeOutcome,
    ) -> Result<()> {
        match self.swap_batch(shard, slot, &pending, true) {
            Ok(receipt) => {
                self.book(receipt, exchange);
                Ok(())
            }
            Err((e, _)) => {
                slot.pending = Some(pending);
                Err(e)
            }
        }
    }

    fn book(&self, receipt: Receipt, exchange: &mut ExchangeOutcome) {
        let origin = self.journal.writer();
        let lots = receipt.grants.iter().filter(|g| !g.amount.is_zero());
        exchange.lots.extend(lots.map(|g| Lot {
            budget: g.budget.clone(),
            origin,
            amount: g.amount,
        }));
        exchange.grants.extend(receipt.grants);
        exchange.voided += receipt.voided;
    }

    /// Brings one operation into a record; an error says whether it may have taken effect.
    fn swap_batch(
        &self,
        shard: ShardId,
        slot: &mut Slot,
        batch: &Batch,
        was_sent: bool,
    ) -> Result<Receipt, (LedgerError, bool)> {
        let mut was_sent = was_sent;
        for _ in 0..ATTEMPTS {
            let tried = self.try_batch(shard, slot, batch, was_sent);
            match tried.map_err(|e| (e, was_sent))? {
                Tried::Done(receipt) => {
                    slot.seq += 1;
                    return Ok(receipt);
                }
                Tried::Again => {}
                Tried::Lost(e) if e.is_without_effect() => return Err((e.into(), was_sent)),
                Tried::Lost(_) => was_sent = true,
            }
        }
        Err((self.contended(shard), was_sent))
    }

    fn try_batch(
        &self,
        shard: ShardId,
        slot: &mut Slot,
        batch: &Batch,
        was_sent: bool,
    ) -> Result<Tried> {
        let seen = match slot.seen.take() {
            Some(seen) if !was_sent => seen,
            _ => self.read(shard)?,
        };
        let mut record = seen.record.clone();
        let receipt = record.apply(self.journal.op(slot.seq + 1), batch, &self.size);
        let receipt = match receipt {
            Ok(receipt) => receipt,
            Err(e) => {
                slot.seen = Some(seen);
                return Err(e.into());
            }
        };
        if receipt.repeated {
            slot.seen = Some(seen);
            return Ok(Tried::Done(receipt));
        }
        match self.write(shard, seen.revision, &record) {
            Ok(Swap::Done(_)) => Ok(Tried::Done(receipt)),
            Ok(Swap::Conflict(current)) => {
                slot.seen = Some(Seen::parse(shard, current)?);
                Ok(Tried::Again)
            }
            Err(e) => Ok(Tried::Lost(e)),
        }
    }

    /// Changes a record by an operation that may be repeated.
    fn change<T>(
        &self,
        shard: ShardId,
        mut apply: impl FnMut(&mut Record) -> Result<T>,
    ) -> Result<T> {
        let mut seen = self.read(shard)?;
        for _ in 0..ATTEMPTS {
            let mut record = seen.record.clone();
            let outcome = apply(&mut record)?;
            if record == seen.record {
                return Ok(outcome);
            }
            match self.write(shard, seen.revision, &record)? {
                Swap::Done(_) => return Ok(outcome),
                Swap::Conflict(current) => seen = Seen::parse(shard, current)?,
            }
        }
        Err(self.contended(shard))
    }

    fn read(&self, shard: ShardId) -> Result<Seen> {
        Seen::parse(shard, self.store.get(&shard.key())?)
    }

    fn write(
        &self,
        shard: ShardId,
        expected: Revision,
        record: &Record,
    ) -> Result<Swap, StoreError> {
        let value = serde_json::to_string(record).map_err(|e| StoreError::Refused {
            cause: e.to_string(),
        })?;
        self.store.swap(&shard.key(), expected, &value, None)
    }

    fn contended(&self, shard: ShardId) -> LedgerError {
        LedgerError::Contended {
            key: shard.key(),
            attempts: ATTEMPTS,
        }
    }
}
