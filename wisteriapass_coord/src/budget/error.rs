//! Errors of budgets.

use derive_more::{Display, Error, From};

use crate::budget::{BudgetId, OpId, Origin, Tokens, TopupId};
use crate::store::StoreError;

/// Result of a call on the ledger.
pub type Result<T, E = LedgerError> = std::result::Result<T, E>;

/// A wallet holds too little for a reservation.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display(
    "budget {budget} holds {held} of {need} tokens here ({reserved} more are reserved); \
     take a grant, ask another router, or wait for reservations to settle"
)]
pub struct Shortfall {
    /// Budget that runs short.
    pub budget: BudgetId,
    /// Amount asked for.
    pub need: Tokens,
    /// Amount held and not reserved.
    pub held: Tokens,
    /// Amount reserved by work under way, part of which will come back.
    pub reserved: Tokens,
}

/// Why a record refuses an operation; it is left as it was.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum RecordError {
    /// The writer was fenced.
    #[display("writer {writer} was fenced; void its money and start a new incarnation")]
    Fenced {
        /// The writer.
        writer: Origin,
    },
    /// The operation does not follow the writer's last one.
    #[display("operation {op} does not follow {last}; start a new incarnation")]
    OutOfOrder {
        /// The operation.
        op: OpId,
        /// Number of the writer's last operation.
        last: u64,
    },
    /// More was reported or returned than the origin holds.
    #[display("origin {origin} has {outstanding} tokens of {budget} left, not {reported}")]
    Overdrawn {
        /// The budget.
        budget: BudgetId,
        /// The origin.
        origin: Origin,
        /// What it had left.
        outstanding: Tokens,
        /// What was reported.
        reported: Tokens,
    },
    /// A top-up id was used before with another amount.
    #[display("top-up {id} was applied with {applied} tokens; give this one an id of its own")]
    TopupReused {
        /// The id.
        id: TopupId,
        /// Amount applied then.
        applied: Tokens,
    },
    /// The budget would hold more than can be counted.
    #[display("budget {budget} can't hold that many tokens; top up by less")]
    TooLarge {
        /// The budget.
        budget: BudgetId,
    },
}

/// Why a call on the ledger failed.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum LedgerError {
    /// The service gave no answer.
    #[display("{_0}")]
    Store(StoreError),
    /// The record refused the operation.
    #[display("{_0}")]
    Record(RecordError),
    /// Other writers won each time.
    #[display("budget record {key} changed on each of {attempts} tries; use more shards")]
    #[from(skip)]
    Contended {
        /// Key of the record.
        key: String,
        /// Tries made.
        attempts: u32,
    },
    /// The record can't be read.
    #[display("budget record {key} can't be read ({cause}); restore it from the operators' copy")]
    #[from(skip)]
    Corrupt {
        /// Key of the record.
        key: String,
        /// What the parser said.
        cause: String,
    },
}

impl LedgerError {
    /// Returns whether the call surely did not take effect.
    pub fn is_without_effect(&self) -> bool {
        match self {
            Self::Store(e) => e.is_without_effect(),
            Self::Record(_) | Self::Contended { .. } | Self::Corrupt { .. } => true,
        }
    }
}
