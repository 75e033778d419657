//! Reasons why the money does not suffice for a request, and the refusals sent to callers.

use wisteriapass_coord::budget::{BudgetId, Tokens};

use crate::prelude::*;

/// Time after which most reservations of this router are settled, in milliseconds.
const SETTLE_TIME_MS: u64 = 2_000;

/// Reason why the money does not suffice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// The budget was never topped up.
    NeverToppedUp,
    /// The rest of the budget is too small.
    Exhausted {
        /// Amount that no router holds.
        free: Tokens,
        /// Whether this router has reservations that may return money.
        has_reservations: bool,
    },
    /// Neither the store nor another router answered.
    Unreachable,
}

impl Shortage {
    /// Returns whether another exchange round may bring enough.
    pub fn is_transient(self, amount: Tokens) -> bool {
        match self {
            Self::Exhausted { free, .. } => free >= amount,
            Self::NeverToppedUp | Self::Unreachable => false,
        }
    }

    /// Returns the refusal for the caller.
    pub fn refusal(self, budget: &BudgetId, amount: Tokens) -> Refusal {
        match self {
            Self::NeverToppedUp => {
                let message = format!("budget {budget} was never topped up");
                Refusal::not_run(Reason::BudgetExhausted, message)
            }
            Self::Exhausted {
                free,
                has_reservations,
            } => {
                let message = format!(
                    "budget {budget} has {free} tokens left, and the request may need {amount}"
                );
                let refusal = Refusal::not_run(Reason::BudgetExhausted, message);
                if has_reservations {
                    refusal.with_retry_after_ms(SETTLE_TIME_MS)
                } else {
                    refusal
                }
            }
            Self::Unreachable => {
                let message = format!(
                    "neither the store nor another router can provide tokens of budget {budget}"
                );
                Refusal::not_run(Reason::BudgetUnreachable, message)
            }
        }
    }
}
