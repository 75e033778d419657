//! The bill of a run.

use serde::{Deserialize, Serialize};

use crate::budget::{Payment, Tokens};
use crate::once::{Place, RunId};

/// Cost of a run, recorded by the side process that executed it.
///
/// A run has one bill, identified by the id of the run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// Id of the run.
    pub run: RunId,
    /// Side process that executed the run.
    pub place: Place,
    /// Client account.
    pub account: String,
    /// Amount reserved for the run.
    pub payment: Payment,
    /// Amount charged, at most the reserved amount.
    pub amount: Tokens,
    /// Whether another run of the same request may exist.
    ///
    /// A provisional bill counts only after the request has been claimed for its run.
    pub is_provisional: bool,
}
