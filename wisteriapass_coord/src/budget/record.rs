//! A record of the service: many budgets and the writers that change them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::budget::{
    Batch, BudgetEntry, BudgetId, Grant, GrantPolicy, GrantRequest, OpId, Origin, Receipt,
    RecordError, Tokens, TopupId, UsageReport, WriterEntry,
};

/// Ended writers that a record remembers.
///
/// Forgetting one is safe, because its next operation is out of order and refused; remembering
/// some tells a paused router plainly that it was fenced. At about 60 bytes each they fill a
/// thirtieth of a record.
const ENDED_WRITERS: usize = 512;

/// Outcome of a top-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topup {
    /// The money was added.
    Applied,
    /// This top-up had been applied before.
    Repeated,
}

/// What is known of a fenced origin's spending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpendingProof {
    /// Every side process that may have worked for it has said what was spent; budgets that are
    /// not listed were not touched.
    Complete(BTreeMap<BudgetId, Tokens>),
    /// Some of them lost their memory: only what was reported is known.
    Partial,
}

/// What retiring an origin did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetiredTokens {
    /// Amount that is free again.
    pub recovered: Tokens,
    /// Amount that could not be proved unspent and stays spent.
    pub stranded: Tokens,
}

/// Many budgets in one value of the service.
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

    /// Returns a budget.
    pub fn budget(&self, id: &BudgetId) -> Option<&BudgetEntry> {
        self.budgets.get(id)
    }

    /// Returns all budgets in order.
    pub fn budgets(&self) -> impl Iterator<Item = (&BudgetId, &BudgetEntry)> {
        self.budgets.iter()
    }

    /// Returns the writers in order.
    pub fn writers(&self) -> impl Iterator<Item = (Origin, &WriterEntry)> {
        self.writers
            .iter()
            .map(|(origin, writer)| (*origin, writer))
    }

    /// Returns whether every prepaid token of every budget is accounted for.
    pub fn is_conserved(&self) -> bool {
        self.budgets.values().all(BudgetEntry::is_conserved)
    }

    /// Adds an empty budget unless it exists; returns whether it is new.
    pub fn add_budget(&mut self, id: &BudgetId) -> bool {
        let is_new = !self.budgets.contains_key(id);
        self.budgets.entry(id.clone()).or_default();
        is_new
    }

    /// Adds money to a budget, once for each top-up id.
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

    /// Applies a writer's operation; one that the record already holds changes nothing.
    ///
    /// On an error the record may be half changed: apply to a copy.
    ///
    /// # Errors
    ///
    /// [`RecordError::Fenced`], [`RecordError::OutOfOrder`] or [`RecordError::Overdrawn`].
    pub fn apply(
        &mut self,
        op: OpId,
        batch: &Batch,
        size: &GrantPolicy,
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
            voided += self.report(report)?;
        }
        let grants = self.grant_all(op.writer, &batch.requests, size);
        self.remember(op, &grants, batch.is_last);
        Ok(Receipt {
            grants,
            voided,
            repeated: false,
        })
    }

    /// Takes a fenced origin's money back in all budgets, as far as `proof` allows; a repeat
    /// changes nothing.
    ///
    /// Call it only when no side process accepts work paid with the origin any more.
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
        self.end(origin);
        sum
    }

    /// Counts one report; returns the amount that a retired origin makes void.
    fn report(&mut self, report: &UsageReport) -> Result<Tokens, RecordError> {
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
        wants: &[GrantRequest],
        size: &GrantPolicy,
    ) -> Vec<Grant> {
        wants
            .iter()
            .map(|want| self.grant(writer, want, size))
            .collect()
    }

    fn grant(&mut self, writer: Origin, want: &GrantRequest, size: &GrantPolicy) -> Grant {
        let Some(entry) = self.budgets.get_mut(&want.budget) else {
            return Grant {
                budget: want.budget.clone(),
                amount: Tokens::ZERO,
                free: Tokens::ZERO,
                prepaid: Tokens::ZERO,
            };
        };
        let amount = size.grant(want.need, want.held, want.usage_per_second, entry.free);
        entry.grant(writer, amount);
        Grant {
            budget: want.budget.clone(),
            amount,
            free: entry.free,
            prepaid: entry.prepaid,
        }
    }

    fn remember(&mut self, op: OpId, grants: &[Grant], leaving: bool) {
        let writer = self.writers.entry(op.writer).or_default();
        writer.seq = op.seq;
        writer.grants = grants.to_vec();
        if !leaving {
            return;
        }
        for entry in self.budgets.values_mut() {
            entry.close(op.writer);
        }
        self.end(op.writer);
    }

    /// Marks a writer as ended and forgets the one that ended first, if there are many.
    fn end(&mut self, origin: Origin) {
        let ended = |w: &WriterEntry| w.ended;
        let next = self.writers.values().filter_map(ended).max().unwrap_or(0) + 1;
        if let Some(writer) = self.writers.get_mut(&origin) {
            writer.ended.get_or_insert(next);
        }
        if self.writers.values().filter_map(ended).count() <= ENDED_WRITERS {
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
