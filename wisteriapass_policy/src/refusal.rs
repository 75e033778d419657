//! Reasons for refusing a request.

use derive_more::Display;

/// Why a request is refused; the names are stable.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Refusal {
    /// The account is not in the rules (any more).
    #[display("unknown_account")]
    UnknownAccount,
    /// No target holds what it wants, or all that do are leaving.
    #[display("no_target")]
    NoTarget,
    /// Every target that holds it is avoided for now.
    #[display("targets_unwell")]
    TargetsUnhealthy,
    /// It could not be done in time even by an idle target.
    #[display("deadline_too_short")]
    DeadlineTooShort,
    /// The pool cannot do it in time.
    #[display("pool_busy")]
    PoolBusy,
    /// The account has already queued what its fair share can do in time.
    #[display("over_fair_share")]
    OverFairShare,
    /// Admitted, then given up for more valuable work.
    #[display("shed")]
    Shed,
    /// Admitted, but its turn did not come in time.
    #[display("waited_too_long")]
    WaitedTooLong,
    /// A failed run that may not be retried.
    #[display("not_retryable")]
    NotRetryable,
    /// A failed run, and the retry budget is spent.
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
