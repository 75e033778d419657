//! Reasons for refusing a request.

use derive_more::Display;

/// Reason of a refusal; the displayed names are stable.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Refusal {
    /// The account is not, or no longer, in the rules.
    #[display("unknown_account")]
    UnknownAccount,
    /// No target hosts the required resource, or all that do are leaving.
    #[display("no_target")]
    NoTarget,
    /// Every target that hosts it is currently avoided.
    #[display("targets_unwell")]
    TargetsUnhealthy,
    /// Even an idle target could not serve it in time.
    #[display("deadline_too_short")]
    DeadlineTooShort,
    /// The pool cannot serve it in time.
    #[display("pool_busy")]
    PoolBusy,
    /// The account has already queued as much as its fair share can serve in time.
    #[display("over_fair_share")]
    OverFairShare,
    /// Admitted, then shed in favor of more valuable work.
    #[display("shed")]
    Shed,
    /// Admitted, but not dispatched in time.
    #[display("waited_too_long")]
    WaitedTooLong,
    /// A run failed and must not be retried.
    #[display("not_retryable")]
    NotRetryable,
    /// A run failed and the retry budget is exhausted.
    #[display("retry_budget_spent")]
    RetryBudgetSpent,
}

impl Refusal {
    /// All reasons, for counters.
    pub const ALL: [Self; 10] = [
        Self::UnknownAccount,
        Self::NoTarget,
        Self::TargetsUnhealthy,
        Self::DeadlineTooShort,
        Self::PoolBusy,
        Self::OverFairShare,
        Self::Shed,
        Self::WaitedTooLong,
        Self::NotRetryable,
        Self::RetryBudgetSpent,
    ];
}
