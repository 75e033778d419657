//! Money moved between routers without the service.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::budget::{BudgetId, Lot, Origin, Tokens};

/// Id of a transfer: who asked, and its running number there.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{taker}:{number}")]
pub struct TransferId {
    /// Incarnation of the router that asked.
    pub taker: Origin,
    /// Running number of what it asked for.
    pub number: u64,
}

/// One router asks another for money.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferRequest {
    /// Id of the transfer; a repeat carries the same.
    pub id: TransferId,
    /// Budget that ran dry.
    pub budget: BudgetId,
    /// Amount wanted.
    pub amount: Tokens,
}

/// Money on its way; its giver was debited before this was made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// Id of what was asked.
    pub id: TransferId,
    /// The money, with its origins; empty if the giver has none to spare.
    pub lots: Vec<Lot>,
}
