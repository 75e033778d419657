//! Amounts of tokens with their origin.

use serde::{Deserialize, Serialize};

use crate::budget::{BudgetId, Origin, Tokens};

/// Amount of tokens of one budget that were granted to one origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lot {
    /// Budget of the tokens.
    pub budget: BudgetId,
    /// Incarnation that the tokens were granted to.
    pub origin: Origin,
    /// Amount.
    pub amount: Tokens,
}
