//! Record in the store: many budgets and the writers that change them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::budget::{
    Batch, BudgetEntry, BudgetId, Grant, GrantPolicy, GrantRequest, OpId, Origin, Receipt,
    RecordError, Tokens, TopupId, UsageReport, WriterEntry,
};

/// Maximum number of ended writers that a record keeps.
///
/// Removing a writer is safe, because its next operation is refused as out of order. Keeping some
/// tells a router that resumes after a pause that it was fenced. At about 60 bytes each, they take
/// a thirtieth of a record.
const MAX_ENDED_WRITERS: usize = 512;

/// Result of a top-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topup {
    /// The tokens were added.
    Applied,
    /// The top-up had been applied before.
    Repeated,
}

/// What is known about the spending of a fenced origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpendingProof {
    /// Every side process that may have run work paid by the origin has reported what was spent;
    /// nothing was spent of budgets that are not listed.
    Complete(BTreeMap<BudgetId, Tokens>),
    /// Some side processes lost their state: only what the writer reported is known.
    Partial,
}

/// Result of retiring an origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetiredTokens {
    /// Amount that became free again.
    pub recovered: Tokens,
    /// Amount that could not be proved unspent and counts as spent.
    pub stranded: Tokens,
}

/// Budgets and their writers, stored as one value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    budgets: BTreeMap<BudgetId, BudgetEntry>,
    writers: BTreeMap<Origin, WriterEntry>,
}

impl Record {
    /// Creates a record without budgets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a budget, if the record has it.
    pub fn budget(&self, id: &BudgetId) -> Option<&BudgetEntry> {
        self.budgets.get(id)
    }

    /// Returns all budgets, ordered by id.
    pub fn budgets(&self) -> impl Iterator<Item = (&BudgetId, &BudgetEntry)> {
        self.budgets.iter()
    }

    /// Returns the writers, ordered by origin.
    pub fn writers(&self) -> impl Iterator<Item = (Origin, &WriterEntry)> {
        self.writers
            .iter()
            .map(|(origin, writer)| (*origin, writer))
    }

    /// Returns whether every prepaid token of every budget is accounted for.
    pub fn is_conserved(&self) -> bool {
        self.budgets.values().all(BudgetEntry::is_conserved)
    }

    /// Adds an empty budget unless it exists; returns whether it was added.
    pub fn add_budget(&mut self, id: &BudgetId) -> bool {
        let is_new = !self.budgets.contains_key(id);
        self.budgets.entry(id.clone()).or_default();
        is_new
    }

    /// Adds tokens to a budget, once per top-up id.
    ///
    /// # Errors
    ///
    /// [`RecordError::TopupReused`] if the id was applied with another amount,
    /// [`RecordError::TooLarge`] if the sum overflows.
    pub fn topup(
        &mut self,
        budget: &BudgetId,
        id: &TopupId,
        amount: Tokens,
    ) -> Result<Topup, RecordError> {
        self.add_budget(budget);
        let too_large = RecordError::TooLarge {
            budget: budget.clone(),
        };
        let entry = self.budgets.entry(budget.clone()).or_default();
        if entry.topup(id, amount, too_large)? {
            return Ok(Topup::Applied);
        }
        Ok(Topup::Repeated)
    }

    /// Applies an operation of a writer; repeating the last operation changes nothing.
    ///
    /// On an error the record may be partially changed: apply to a copy.
    ///
    /// # Errors
    ///
    /// [`RecordError::Fenced`], [`RecordError::OutOfOrder`] or [`RecordError::Overdrawn`].
    pub fn apply(
        &mut self,
        op: OpId,
        batch: &Batch,
        policy: &GrantPolicy,
    ) -> Result<Receipt, RecordError> {
        let last = self.writers.get(&op.writer);
        if last.is_some_and(|w| w.fenced) {
            return Err(RecordError::Fenced { writer: op.writer });
        }
        let last_seq = last.map_or(0, |w| w.seq);
        if let Some(writer) = last.filter(|w| w.seq == op.seq) {
            return Ok(Receipt {
                grants: writer.grants.clone(),
                voided: Tokens::ZERO,
                repeated: true,
            });
        }
        if op.seq != last_seq + 1 {
            return Err(RecordError::OutOfOrder { op, last: last_seq });
        }
        let mut voided = Tokens::ZERO;
        for report in &batch.reports {
            voided += self.apply_report(report)?;
        }
        let grants = self.grant_all(op.writer, &batch.requests, policy);
        self.record_operation(op, &grants, batch.is_last);
        Ok(Receipt {
            grants,
            voided,
            repeated: false,
        })
    }

    /// Retires a fenced origin: recovers its tokens in all budgets, as far as `proof` allows.
    /// Repeating it changes nothing.
    ///
    /// Call it only once no side process accepts work paid by the origin.
    pub fn retire(&mut self, origin: Origin, proof: &SpendingProof) -> RetiredTokens {
        let mut sum = RetiredTokens::default();
        for (id, entry) in &mut self.budgets {
            let spent = match proof {
                SpendingProof::Complete(spent) => Some(spent.get(id).copied().unwrap_or_default()),
                SpendingProof::Partial => None,
            };
            let (recovered, stranded) = entry.retire(origin, spent);
            sum.recovered += recovered;
            sum.stranded += stranded;
        }
        let Some(writer) = self.writers.get_mut(&origin) else {
            return sum;
        };
        writer.fenced = true;
        self.mark_ended(origin);
        sum
    }

    /// Applies one usage report; returns the amount ignored because the origin is retired.
    fn apply_report(&mut self, report: &UsageReport) -> Result<Tokens, RecordError> {
        let amount = report.spent + report.returned;
        let entry = self.budgets.get_mut(&report.budget);
        let Some(entry) = entry else {
            return Ok(amount);
        };
        let Some(origin) = entry.origins.get_mut(&report.origin) else {
            return Ok(amount);
        };
        let outstanding = origin.outstanding();
        if outstanding < amount {
            return Err(RecordError::Overdrawn {
                budget: report.budget.clone(),
                origin: report.origin,
                outstanding,
                reported: amount,
            });
        }
        origin.spent += report.spent;
        origin.returned += report.returned;
        entry.free += report.returned;
        Ok(Tokens::ZERO)
    }

    fn grant_all(
        &mut self,
        writer: Origin,
        requests: &[GrantRequest],
        policy: &GrantPolicy,
    ) -> Vec<Grant> {
        requests
            .iter()
            .map(|request| self.grant(writer, request, policy))
            .collect()
    }

    fn grant(&mut self, writer: Origin, request: &GrantRequest, policy: &GrantPolicy) -> Grant {
        let Some(entry) = self.budgets.get_mut(&request.budget) else {
            return Grant {
                budget: request.budget.clone(),
                amount: Tokens::ZERO,
                free: Tokens::ZERO,
                prepaid: Tokens::ZERO,
            };
        };
        let amount = policy.grant(
            request.need,
            request.held,
            request.usage_per_second,
            entry.free,
        );
        entry.grant(writer, amount);
        Grant {
            budget: request.budget.clone(),
            amount,
            free: entry.free,
            prepaid: entry.prepaid,
        }
    }

    fn record_operation(&mut self, op: OpId, grants: &[Grant], is_last: bool) {
        let writer = self.writers.entry(op.writer).or_default();
        writer.seq = op.seq;
        writer.grants = grants.to_vec();
        if !is_last {
            return;
        }
        for entry in self.budgets.values_mut() {
            entry.remove_settled(op.writer);
        }
        self.mark_ended(op.writer);
    }

    /// Marks a writer as ended and, above the maximum, removes the one that ended first.
    fn mark_ended(&mut self, origin: Origin) {
        let ended = |w: &WriterEntry| w.ended;
        let next = self.writers.values().filter_map(ended).max().unwrap_or(0) + 1;
        if let Some(writer) = self.writers.get_mut(&origin) {
            writer.ended.get_or_insert(next);
        }
        if self.writers.values().filter_map(ended).count() <= MAX_ENDED_WRITERS {
            return;
        }
        let first = self
            .writers
            .iter()
            .filter_map(|(o, w)| Some((w.ended?, *o)));
        if let Some((_, origin)) = first.min() {
            self.writers.remove(&origin);
        }
    }
}
