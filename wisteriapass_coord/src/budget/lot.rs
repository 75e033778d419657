//! Money in hand.

use serde::{Deserialize, Serialize};

use crate::budget::{BudgetId, Origin, Tokens};

/// An amount of one budget with the origin it was granted to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lot {
    /// Budget it belongs to.
    pub budget: BudgetId,
    /// Incarnation that took it from the service.
    pub origin: Origin,
    /// Amount.
    pub amount: Tokens,
}
