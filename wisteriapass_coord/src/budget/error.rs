//! Errors of budget operations.

use derive_more::{Display, Error, From};

use crate::budget::{BudgetId, OpId, Origin, Tokens, TopupId};
use crate::store::StoreError;

/// Result of a ledger operation.
pub type Result<T, E = LedgerError> = std::result::Result<T, E>;

/// A reservation failed because the wallet holds too few tokens.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display(
    "this router holds {held} of {need} tokens of budget {budget} ({reserved} more are reserved); \
     request a grant or a transfer, or wait for reservations to settle"
)]
pub struct Shortfall {
    /// The budget.
    pub budget: BudgetId,
    /// Amount to reserve.
    pub need: Tokens,
    /// Amount held and not reserved.
    pub held: Tokens,
    /// Amount reserved for work in progress; the unused part is refunded at settlement.
    pub reserved: Tokens,
}

/// Reason why a record refused an operation; the stored record is unchanged.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum RecordError {
    /// The writer has been fenced.
    #[display("writer {writer} has been fenced; discard its tokens and start a new incarnation")]
    Fenced {
        /// The writer.
        writer: Origin,
    },
    /// The sequence number does not follow that of the writer's last operation.
    #[display("operation {op} does not follow sequence number {last}; start a new incarnation")]
    OutOfOrder {
        /// The operation.
        op: OpId,
        /// Sequence number of the writer's last operation.
        last: u64,
    },
    /// More was reported spent or returned than the origin has outstanding.
    #[display(
        "origin {origin} has {outstanding} tokens of {budget} outstanding, not the reported {reported}"
    )]
    Overdrawn {
        /// The budget.
        budget: BudgetId,
        /// The origin.
        origin: Origin,
        /// Amount outstanding.
        outstanding: Tokens,
        /// Amount reported spent or returned.
        reported: Tokens,
    },
    /// The top-up id was applied before with another amount.
    #[display("top-up {id} was already applied with {applied} tokens; use a new id")]
    TopupReused {
        /// The id.
        id: TopupId,
        /// Amount applied under this id.
        applied: Tokens,
    },
    /// The sum of the top-ups would overflow.
    #[display("top-up would overflow budget {budget}; use a smaller amount")]
    TooLarge {
        /// The budget.
        budget: BudgetId,
    },
}

/// Reason why a ledger operation failed.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum LedgerError {
    /// The call to the store failed.
    #[display("{_0}")]
    Store(StoreError),
    /// The record refused the operation.
    #[display("{_0}")]
    Record(RecordError),
    /// Another writer changed the record on each attempt.
    #[display("budget record {key} changed on each of {attempts} attempts; use more shards")]
    #[from(skip)]
    Contended {
        /// Key of the record.
        key: String,
        /// Number of attempts.
        attempts: u32,
    },
    /// The record cannot be parsed.
    #[display(
        "budget record {key} cannot be parsed ({cause}); restore it from the operators' backup"
    )]
    #[from(skip)]
    Corrupt {
        /// Key of the record.
        key: String,
        /// Message of the parser.
        cause: String,
    },
}

impl LedgerError {
    /// Returns whether the operation is known not to have taken effect.
    pub fn is_without_effect(&self) -> bool {
        match self {
            Self::Store(e) => e.is_without_effect(),
            Self::Record(_) | Self::Contended { .. } | Self::Corrupt { .. } => true,
        }
    }
}
