//! One writer's operation on a record: reports and wants of many budgets in one swap.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::budget::{BudgetId, Origin, Tokens};

/// Id of an operation: the writer and its running number on that record.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{writer}#{seq}")]
pub struct OpId {
    /// Incarnation of the writer.
    pub writer: Origin,
    /// Running number, from one.
    pub seq: u64,
}

/// A router wants money of one budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantRequest {
    /// The budget.
    pub budget: BudgetId,
    /// Least amount that is of use, on top of what it holds.
    pub need: Tokens,
    /// What it holds already.
    pub held: Tokens,
    /// Tokens it draws a second, as measured.
    pub usage_per_second: Tokens,
}

/// What was spent and given back of one origin's money since the last report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// The budget.
    pub budget: BudgetId,
    /// Incarnation that took the money.
    pub origin: Origin,
    /// Amount spent.
    pub spent: Tokens,
    /// Amount returned to the record.
    pub returned: Tokens,
}

/// All that a writer has to say to one record.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Reports, applied first.
    pub reports: Vec<UsageReport>,
    /// Wants.
    pub requests: Vec<GrantRequest>,
    /// Whether the writer stops after this.
    pub is_last: bool,
}

impl Batch {
    /// Returns whether there is nothing to say.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.requests.is_empty() && !self.is_last
    }
}

/// Money granted to a writer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The budget.
    pub budget: BudgetId,
    /// Amount granted, zero if less than the need was free.
    pub amount: Tokens,
    /// Amount left free in the record.
    pub free: Tokens,
    /// Sum of the budget's top-ups, zero if it was never topped up.
    pub prepaid: Tokens,
}

/// What an operation did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Receipt {
    /// Grants, one for each want.
    pub grants: Vec<Grant>,
    /// Amount reported for origins that were retired meanwhile; it changed nothing.
    pub voided: Tokens,
    /// Whether the record already held the operation.
    pub repeated: bool,
}
