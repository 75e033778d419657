//! Transfers of tokens between routers, without the store.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::budget::{BudgetId, Lot, Origin, Tokens};

/// Id of a transfer: the requesting router and a sequence number.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{taker}:{number}")]
pub struct TransferId {
    /// Incarnation of the requesting router.
    pub taker: Origin,
    /// Sequence number of the request on that router.
    pub number: u64,
}

/// Request of a router for tokens of another router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferRequest {
    /// Id of the transfer; a repeated request carries the same id.
    pub id: TransferId,
    /// Budget of the tokens.
    pub budget: BudgetId,
    /// Amount requested.
    pub amount: Tokens,
}

/// Tokens in transfer; they were deducted from the sending wallet before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// Id of the request.
    pub id: TransferId,
    /// The tokens with their origins; empty if the sender holds none.
    pub lots: Vec<Lot>,
}
