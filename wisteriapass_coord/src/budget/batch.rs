//! Operations of a writer on a record: usage reports and grant requests for many budgets in one
//! compare-and-swap.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::budget::{BudgetId, Origin, Tokens};

/// Id of an operation: the writer and its sequence number on the record.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{writer}#{seq}")]
pub struct OpId {
    /// Incarnation of the writer.
    pub writer: Origin,
    /// Sequence number, starting at one.
    pub seq: u64,
}

/// Request of a router for tokens of one budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantRequest {
    /// The budget.
    pub budget: BudgetId,
    /// Minimum amount to grant, in addition to what the router holds.
    pub need: Tokens,
    /// Amount that the router already holds unreserved.
    pub held: Tokens,
    /// Measured usage of the router, in tokens per second.
    pub usage_per_second: Tokens,
}

/// Amounts of one origin that were spent and returned since the last report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// The budget.
    pub budget: BudgetId,
    /// Incarnation that the tokens were granted to.
    pub origin: Origin,
    /// Amount spent.
    pub spent: Tokens,
    /// Amount returned to the record.
    pub returned: Tokens,
}

/// Operation of a writer on one record.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Usage reports, applied before the requests.
    pub reports: Vec<UsageReport>,
    /// Grant requests.
    pub requests: Vec<GrantRequest>,
    /// Whether this is the last operation of the writer.
    pub is_last: bool,
}

impl Batch {
    /// Returns whether the batch changes nothing.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.requests.is_empty() && !self.is_last
    }
}

/// Tokens granted to a writer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The budget.
    pub budget: BudgetId,
    /// Amount granted; zero if the free amount was below the requested minimum.
    pub amount: Tokens,
    /// Amount that remains free in the record.
    pub free: Tokens,
    /// Sum of the top-ups of the budget; zero if it was never topped up.
    pub prepaid: Tokens,
}

/// Result of an operation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Receipt {
    /// Grants, one per request.
    pub grants: Vec<Grant>,
    /// Amount reported for origins that have been retired; it was ignored.
    pub voided: Tokens,
    /// Whether the record had already applied the operation.
    pub repeated: bool,
}
