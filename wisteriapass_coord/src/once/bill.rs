//! What a run cost.

use serde::{Deserialize, Serialize};

use crate::budget::{Payment, Tokens};
use crate::once::{Place, RunId};

/// The one bill of a run, made by the side process that ran it; its id is the run's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// The run.
    pub run: RunId,
    /// Side process that ran it.
    pub place: Place,
    /// Client account.
    pub account: String,
    /// What was reserved for it.
    pub payment: Payment,
    /// What it cost, at most what was reserved.
    pub amount: Tokens,
    /// Whether another run of the same request may exist: it counts only once its claim is made.
    pub is_provisional: bool,
}
