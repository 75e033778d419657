//! Access to the budget records in the store, which are changed by compare-and-swap.

use std::collections::BTreeMap;

use crate::budget::journal::{Journal, ShardState, Snapshot};
use crate::budget::{
    Batch, BudgetId, ExchangeOutcome, GrantPolicy, GrantRequest, LedgerError, Lot, Origin, Receipt,
    Record, Result, RetiredTokens, ShardId, SpendingProof, Tokens, Topup, TopupId, Totals,
    UsageReport,
};
use crate::store::{Revision, Store, StoreError, Swap};

/// Maximum number of attempts at a compare-and-swap.
///
/// Each conflict means that the swap of another writer took effect, so a record with this many
/// concurrent writers needs more shards.
const MAX_ATTEMPTS: u32 = 16;

/// Result of one attempt at an operation.
enum Attempt {
    Done(Receipt),
    Conflict,
    Failed(StoreError),
}

/// Access of one writer to the budget records in a [`Store`].
pub struct Ledger<'a> {
    store: &'a dyn Store,
    journal: &'a Journal,
    policy: GrantPolicy,
}

impl<'a> Ledger<'a> {
    /// Creates access to the records in `store` for the writer of `journal`.
    pub fn new(store: &'a dyn Store, journal: &'a Journal) -> Self {
        Self {
            store,
            journal,
            policy: GrantPolicy::new(),
        }
    }

    /// Creates a budget unless it exists; returns whether it was created.
    ///
    /// # Errors
    ///
    /// [`LedgerError`] if the store did not respond; repeating is safe.
    pub fn ensure_budget(&self, budget: &BudgetId) -> Result<bool> {
        self.change(self.journal.shards().shard_of(budget), |r| {
            Ok(r.add_budget(budget))
        })
    }

    /// Adds prepaid tokens to a budget, once per top-up id.
    ///
    /// # Errors
    ///
    /// [`LedgerError`] if the store did not respond (repeating with the same id is safe) or the id
    /// was applied with another amount.
    pub fn topup(&self, budget: &BudgetId, id: &TopupId, amount: Tokens) -> Result<Topup> {
        let shard = self.journal.shards().shard_of(budget);
        self.change(shard, |r| Ok(r.topup(budget, id, amount)?))
    }

    /// Retires a fenced origin: recovers its tokens in all records, as far as `proof` allows.
    ///
    /// # Errors
    ///
    /// [`LedgerError`] if the store did not respond; repeating is safe.
    pub fn retire(&self, origin: Origin, proof: &SpendingProof) -> Result<RetiredTokens> {
        let mut sum = RetiredTokens::default();
        for shard in self.journal.shards().all() {
            let retired = self.change(shard, |r| Ok(r.retire(origin, proof)))?;
            sum.recovered += retired.recovered;
            sum.stranded += retired.stranded;
        }
        Ok(sum)
    }

    /// Returns the totals of all budgets.
    ///
    /// # Errors
    ///
    /// [`LedgerError`] if the store did not respond or a record cannot be parsed.
    pub fn totals(&self) -> Result<Vec<Totals>> {
        let mut totals = Vec::new();
        for shard in self.journal.shards().all() {
            let snapshot = self.read(shard)?;
            totals.extend(snapshot.record.budgets().map(|(id, b)| Totals::new(id, b)));
        }
        Ok(totals)
    }

    /// Returns whether any record lists an origin, with or without outstanding tokens.
    ///
    /// # Errors
    ///
    /// [`LedgerError`] if the store did not respond or a record cannot be parsed.
    pub fn lists_origin(&self, origin: Origin) -> Result<bool> {
        for shard in self.journal.shards().all() {
            let snapshot = self.read(shard)?;
            let mut budgets = snapshot.record.budgets();
            if budgets.any(|(_, b)| b.origins.contains_key(&origin)) {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Requests grants, with one swap per record.
    pub fn request_grants(&self, requests: Vec<GrantRequest>) -> ExchangeOutcome {
        self.exchange(requests, Vec::new())
    }

    /// Reports spent and returned amounts, with one swap per record.
    pub fn send_reports(&self, reports: Vec<UsageReport>) -> ExchangeOutcome {
        self.exchange(Vec::new(), reports)
    }

    /// Reports usage and requests grants together, with one swap per record.
    ///
    /// Operations whose responses were lost are completed first; their grants are among the lots.
    pub fn exchange(
        &self,
        requests: Vec<GrantRequest>,
        reports: Vec<UsageReport>,
    ) -> ExchangeOutcome {
        let mut batches = self.pending_batches();
        for request in requests {
            let shard = self.journal.shards().shard_of(&request.budget);
            batches.entry(shard).or_default().requests.push(request);
        }
        for report in reports {
            let shard = self.journal.shards().shard_of(&report.budget);
            batches.entry(shard).or_default().reports.push(report);
        }
        self.run_batches(batches)
    }

    /// Sends the last reports and marks this writer as ended in the records.
    pub fn close_writer(&self, reports: Vec<UsageReport>) -> ExchangeOutcome {
        let mut batches = BTreeMap::<ShardId, Batch>::new();
        for shard in self.journal.shards().all() {
            if self.journal.state(shard).lock().seq > 0 {
                batches.entry(shard).or_default().is_last = true;
            }
        }
        for report in reports {
            let shard = self.journal.shards().shard_of(&report.budget);
            batches.entry(shard).or_default().reports.push(report);
        }
        self.run_batches(batches)
    }

    /// Completes operations whose responses were lost; their grants are among the lots.
    pub fn complete_pending(&self) -> ExchangeOutcome {
        self.run_batches(self.pending_batches())
    }

    /// Returns an empty batch for each record with an operation whose response was lost.
    fn pending_batches(&self) -> BTreeMap<ShardId, Batch> {
        let shards = self.journal.shards().all();
        let pending = shards.filter(|s| self.journal.state(*s).lock().pending.is_some());
        pending.map(|shard| (shard, Batch::default())).collect()
    }

    fn run_batches(&self, batches: BTreeMap<ShardId, Batch>) -> ExchangeOutcome {
        let mut outcome = ExchangeOutcome::default();
        for (shard, batch) in batches {
            // The store is unreachable for all records, so do not wait for each of them.
            if matches!(outcome.error, Some(LedgerError::Store(_))) {
                outcome.unapplied.extend(batch.reports);
                continue;
            }
            self.run_batch(shard, batch, &mut outcome);
        }
        outcome
    }

    fn run_batch(&self, shard: ShardId, batch: Batch, outcome: &mut ExchangeOutcome) {
        let mut state = self.journal.state(shard).lock();
        if let Some(pending) = state.pending.take()
            && let Err(e) = self.complete_batch(shard, &mut state, pending, outcome)
        {
            outcome.unapplied.extend(batch.reports);
            outcome.error = Some(e);
            return;
        }
        if batch.is_empty() {
            return;
        }
        match self.swap_batch(shard, &mut state, &batch, false) {
            Ok(receipt) => self.add_receipt(receipt, outcome),
            Err((e, false)) => {
                outcome.unapplied.extend(batch.reports);
                outcome.error = Some(e);
            }
            Err((e, true)) => {
                state.pending = Some(batch);
                outcome.error = Some(e);
            }
        }
    }

    fn complete_batch(
        &self,
        shard: ShardId,
        state: &mut ShardState,
        pending: Batch,
        outcome: &mut ExchangeOutcome,
    ) -> Result<()> {
        match self.swap_batch(shard, state, &pending, true) {
            Ok(receipt) => {
                self.add_receipt(receipt, outcome);
                Ok(())
            }
            Err((e, _)) => {
                state.pending = Some(pending);
                Err(e)
            }
        }
    }

    fn add_receipt(&self, receipt: Receipt, outcome: &mut ExchangeOutcome) {
        let origin = self.journal.writer();
        let lots = receipt.grants.iter().filter(|g| !g.amount.is_zero());
        outcome.lots.extend(lots.map(|g| Lot {
            budget: g.budget.clone(),
            origin,
            amount: g.amount,
        }));
        outcome.grants.extend(receipt.grants);
        outcome.voided += receipt.voided;
    }

    /// Applies one operation to a record. An error comes with whether the operation may have taken
    /// effect.
    fn swap_batch(
        &self,
        shard: ShardId,
        state: &mut ShardState,
        batch: &Batch,
        was_sent: bool,
    ) -> Result<Receipt, (LedgerError, bool)> {
        let mut was_sent = was_sent;
        for _ in 0..MAX_ATTEMPTS {
            let attempt = self.try_batch(shard, state, batch, was_sent);
            match attempt.map_err(|e| (e, was_sent))? {
                Attempt::Done(receipt) => {
                    state.seq += 1;
                    return Ok(receipt);
                }
                Attempt::Conflict => {}
                Attempt::Failed(e) if e.is_without_effect() => return Err((e.into(), was_sent)),
                Attempt::Failed(_) => was_sent = true,
            }
        }
        Err((self.contended_error(shard), was_sent))
    }

    fn try_batch(
        &self,
        shard: ShardId,
        state: &mut ShardState,
        batch: &Batch,
        was_sent: bool,
    ) -> Result<Attempt> {
        let snapshot = match state.cached.take() {
            Some(snapshot) if !was_sent => snapshot,
            _ => self.read(shard)?,
        };
        let mut record = snapshot.record.clone();
        let receipt = record.apply(self.journal.op(state.seq + 1), batch, &self.policy);
        let receipt = match receipt {
            Ok(receipt) => receipt,
            Err(e) => {
                state.cached = Some(snapshot);
                return Err(e.into());
            }
        };
        if receipt.repeated {
            state.cached = Some(snapshot);
            return Ok(Attempt::Done(receipt));
        }
        match self.write(shard, snapshot.revision, &record) {
            Ok(Swap::Done(_)) => Ok(Attempt::Done(receipt)),
            Ok(Swap::Conflict(current)) => {
                state.cached = Some(Snapshot::parse(shard, current)?);
                Ok(Attempt::Conflict)
            }
            Err(e) => Ok(Attempt::Failed(e)),
        }
    }

    /// Changes a record by an idempotent operation.
    fn change<T>(
        &self,
        shard: ShardId,
        mut apply: impl FnMut(&mut Record) -> Result<T>,
    ) -> Result<T> {
        let mut snapshot = self.read(shard)?;
        for _ in 0..MAX_ATTEMPTS {
            let mut record = snapshot.record.clone();
            let outcome = apply(&mut record)?;
            if record == snapshot.record {
                return Ok(outcome);
            }
            match self.write(shard, snapshot.revision, &record)? {
                Swap::Done(_) => return Ok(outcome),
                Swap::Conflict(current) => snapshot = Snapshot::parse(shard, current)?,
            }
        }
        Err(self.contended_error(shard))
    }

    fn read(&self, shard: ShardId) -> Result<Snapshot> {
        Snapshot::parse(shard, self.store.get(&shard.key())?)
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

    fn contended_error(&self, shard: ShardId) -> LedgerError {
        LedgerError::Contended {
            key: shard.key(),
            attempts: MAX_ATTEMPTS,
        }
    }
}
