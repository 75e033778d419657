//! Why there is no money for a request, as callers are told.

use wisteriapass_coord::budget::{BudgetId, Tokens};

use crate::prelude::*;

/// Time after which reservations of this router are settled, mostly, in milliseconds.
const SETTLED_MS: u64 = 2_000;

/// Why there is no money.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// The budget was never topped up.
    NeverToppedUp,
    /// Less than needed is left.
    Exhausted {
        /// Amount nobody holds.
        free: Tokens,
        /// Whether work under way may give some back.
        has_reservations: bool,
    },
    /// Neither the service nor another router answered.
    Unreachable,
}

impl Shortage {
    /// Returns whether another round may bring enough.
    pub fn is_transient(self, amount: Tokens) -> bool {
        match self {
            Self::Exhausted { free, .. } => free >= amount,
            Self::NeverToppedUp | Self::Unreachable => false,
        }
    }

    /// Returns what the caller is told.
    pub fn refusal(self, budget: &BudgetId, amount: Tokens) -> Refusal {
        match self {
            Self::NeverToppedUp => {
                let message = format!("budget {budget} was never topped up");
                Refusal::not_run(Reason::BudgetExhausted, message)
            }
            Self::Exhausted {
                free,
                has_reservations: busy,
            } => {
                let message = format!("budget {budget} has {free} free, {amount} may be needed");
                let refusal = Refusal::not_run(Reason::BudgetExhausted, message);
                if busy {
                    refusal.with_retry_after_ms(SETTLED_MS)
                } else {
                    refusal
                }
            }
            Self::Unreachable => {
                let message = format!("no money of budget {budget} can be reached");
                Refusal::not_run(Reason::BudgetUnreachable, message)
            }
        }
    }
}
