//! Refusals sent to callers: the reason, whether the request ran, and when to retry.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Reason for a refusal; the complete set of reasons in answers and counters.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request is malformed.
    #[display("bad_request")]
    BadRequest,
    /// The body is larger than allowed.
    #[display("body_too_large")]
    BodyTooLarge,
    /// The body did not arrive in time.
    #[display("body_timeout")]
    BodyTimeout,
    /// The account key is missing or unknown.
    #[display("unauthorized")]
    Unauthorized,
    /// No target in the inventory offers the model or service.
    #[display("unknown_model")]
    UnknownModel,
    /// The rules do not allow the account to use the model or service.
    #[display("not_allowed")]
    NotAllowed,
    /// The account has no budget for this request.
    #[display("no_budget")]
    NoBudget,
    /// The rest of the budget is too small.
    #[display("budget_exhausted")]
    BudgetExhausted,
    /// The budget may suffice, but the service that holds it cannot be reached.
    #[display("budget_unreachable")]
    BudgetUnreachable,
    /// The money reserved for the request was fenced; the router uses other money.
    #[display("money_fenced")]
    MoneyFenced,
    /// The targets cannot finish the queued work by the deadline.
    #[display("overloaded")]
    Overloaded,
    /// The account has already queued as much work as its fair share allows.
    #[display("over_fair_share")]
    OverFairShare,
    /// Dropped in favor of more urgent work.
    #[display("shed")]
    Shed,
    /// The deadline passed before a target could start the request.
    #[display("deadline")]
    Deadline,
    /// No suitable target can be reached.
    #[display("no_target")]
    NoTarget,
    /// This router is stopping.
    #[display("stopping")]
    Stopping,
    /// This process does not know the configuration in force yet.
    #[display("not_ready")]
    NotReady,
    /// A non-idempotent request needs an idempotency key.
    #[display("key_required")]
    KeyRequired,
    /// The idempotency key was already used for another request.
    #[display("key_reused")]
    KeyReused,
    /// The claim which ensures that the request runs only once could not be made.
    #[display("claim_unavailable")]
    ClaimUnavailable,
    /// The target failed.
    #[display("target_failed")]
    TargetFailed,
    /// The request may have run; its outcome is not known.
    #[display("outcome_unknown")]
    OutcomeUnknown,
}

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// The request did not run and will not run.
    #[display("not_run")]
    NotRun,
    /// The request may have run.
    #[display("outcome_unknown")]
    OutcomeUnknown,
}

/// A refusal as sent to callers.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{reason} ({ran}): {message}; {remedy}")]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: Reason,
    /// Whether the request ran.
    pub ran: Ran,
    /// Human-readable description of the problem.
    pub message: String,
    /// What the caller or operator can do about it.
    pub remedy: String,
    /// Time after which to retry, in milliseconds; 0 if a retry does not help.
    pub retry_after_ms: u64,
}

/// Body of the answer to a refused request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The refusal.
    pub error: Refusal,
}

impl Reason {
    /// Returns the HTTP status for the reason.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::KeyRequired => 400,
            Self::Unauthorized => 401,
            Self::NoBudget | Self::BudgetExhausted => 402,
            Self::NotAllowed => 403,
            Self::UnknownModel => 404,
            Self::BodyTimeout => 408,
            Self::KeyReused => 409,
            Self::BodyTooLarge => 413,
            Self::Overloaded | Self::OverFairShare | Self::Shed => 429,
            Self::TargetFailed | Self::OutcomeUnknown => 502,
            Self::BudgetUnreachable
            | Self::MoneyFenced
            | Self::NoTarget
            | Self::Stopping
            | Self::NotReady
            | Self::ClaimUnavailable => 503,
            Self::Deadline => 504,
        }
    }

    /// Returns what a caller can do about it.
    pub fn remedy(self) -> &'static str {
        match self {
            Self::BadRequest => "correct the request",
            Self::BodyTooLarge => "send a smaller body",
            Self::BodyTimeout => "send the body faster",
            Self::Unauthorized => "send the account key as a bearer token",
            Self::UnknownModel => "use a model or service of the inventory",
            Self::NotAllowed => "ask the operator for access",
            Self::NoBudget => "ask the operator for a budget",
            Self::BudgetExhausted => "top up the budget or lower max_tokens",
            Self::KeyRequired => "send an idempotency-key header",
            Self::KeyReused => "use a new idempotency key for a new request",
            Self::OutcomeUnknown => "look at the target before repeating under a new key",
            Self::Stopping => "repeat at another router",
            Self::BudgetUnreachable
            | Self::MoneyFenced
            | Self::Overloaded
            | Self::OverFairShare
            | Self::Shed
            | Self::Deadline
            | Self::NoTarget
            | Self::NotReady
            | Self::ClaimUnavailable
            | Self::TargetFailed => "repeat the request after the given time",
        }
    }

    /// Returns the time after which a retry may help, in milliseconds; 0 if it does not help.
    pub fn default_retry_after_ms(self) -> u64 {
        match self {
            Self::BadRequest
            | Self::BodyTooLarge
            | Self::Unauthorized
            | Self::UnknownModel
            | Self::NotAllowed
            | Self::NoBudget
            | Self::KeyRequired
            | Self::KeyReused
            | Self::OutcomeUnknown => 0,
            Self::BodyTimeout | Self::Stopping | Self::MoneyFenced => 100,
            Self::Overloaded
            | Self::OverFairShare
            | Self::Shed
            | Self::Deadline
            | Self::TargetFailed
            | Self::NotReady => 1_000,
            Self::BudgetUnreachable | Self::NoTarget | Self::ClaimUnavailable => 2_000,
            Self::BudgetExhausted => 30_000,
        }
    }
}

impl Refusal {
    /// Creates a refusal of a request that did not run and will not run.
    pub fn not_run(reason: Reason, message: impl Into<String>) -> Self {
        Self {
            reason,
            ran: Ran::NotRun,
            message: message.into(),
            remedy: reason.remedy().into(),
            retry_after_ms: reason.default_retry_after_ms(),
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn outcome_unknown(message: impl Into<String>) -> Self {
        Self {
            ran: Ran::OutcomeUnknown,
            ..Self::not_run(Reason::OutcomeUnknown, message)
        }
    }

    /// Marks the outcome of the request as unknown.
    pub fn with_unknown_outcome(mut self) -> Self {
        self.ran = Ran::OutcomeUnknown;
        self
    }

    /// Sets the time after which to retry, in milliseconds.
    pub fn with_retry_after_ms(mut self, ms: u64) -> Self {
        self.retry_after_ms = ms;
        self
    }

    /// Returns the JSON body of the answer.
    pub fn body(&self) -> String {
        serde_json::to_string(&ErrorBody {
            error: self.clone(),
        })
        .unwrap_or_default()
    }
}
