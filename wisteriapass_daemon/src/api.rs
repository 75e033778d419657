//! What callers are told: refusals with a reason, whether the request ran, and when to come back.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Why a request is refused; the closed set that callers and counters see.
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
    /// No target of the inventory offers the model or service.
    #[display("unknown_model")]
    UnknownModel,
    /// The rules do not let the account use the model or service.
    #[display("not_allowed")]
    NotAllowed,
    /// No budget of the account pays for this.
    #[display("no_budget")]
    NoBudget,
    /// The budget has not enough left.
    #[display("budget_exhausted")]
    BudgetExhausted,
    /// Money may be left, but the service that holds it cannot be reached.
    #[display("budget_unreachable")]
    BudgetUnreachable,
    /// The money that was to pay was fenced; the router takes other money.
    #[display("money_fenced")]
    MoneyFenced,
    /// More work than the targets can do by the deadline.
    #[display("overloaded")]
    Overloaded,
    /// The account has queued what its fair share can do.
    #[display("over_fair_share")]
    OverFairShare,
    /// Given up for more urgent work.
    #[display("shed")]
    Shed,
    /// The deadline passed before a target could start.
    #[display("deadline")]
    Deadline,
    /// No target can be reached that could do it.
    #[display("no_target")]
    NoTarget,
    /// This router is stopping.
    #[display("stopping")]
    Stopping,
    /// This process has not yet learned the configuration in force.
    #[display("not_ready")]
    NotReady,
    /// A non-idempotent request needs an idempotency key.
    #[display("key_required")]
    KeyRequired,
    /// The idempotency key was used with another request.
    #[display("key_reused")]
    KeyReused,
    /// The claim that makes sure it runs once could not be made.
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
    /// It did not run and will not.
    #[display("not_run")]
    NotRun,
    /// It may have run.
    #[display("outcome_unknown")]
    OutcomeUnknown,
}

/// A refusal as callers get it.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{reason} ({ran}): {message}; {remedy}")]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether it ran.
    pub ran: Ran,
    /// What is wrong, for people.
    pub message: String,
    /// What to do about it.
    pub remedy: String,
    /// When to come back, in milliseconds from now; 0 if coming back does not help.
    pub retry_after_ms: u64,
}

/// Body of a refused request's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The refusal.
    pub error: Refusal,
}

impl Reason {
    /// Returns the HTTP status that goes with the reason.
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

    /// Returns after how many milliseconds coming back may help, 0 if it does not.
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
    /// Creates a refusal of something that did not run and will not.
    pub fn not_run(reason: Reason, message: impl Into<String>) -> Self {
        Self {
            reason,
            ran: Ran::NotRun,
            message: message.into(),
            remedy: reason.remedy().into(),
            retry_after_ms: reason.default_retry_after_ms(),
        }
    }

    /// Creates a refusal of something that may have run.
    pub fn outcome_unknown(message: impl Into<String>) -> Self {
        Self {
            ran: Ran::OutcomeUnknown,
            ..Self::not_run(Reason::OutcomeUnknown, message)
        }
    }

    /// Says that the request may have run.
    pub fn with_unknown_outcome(mut self) -> Self {
        self.ran = Ran::OutcomeUnknown;
        self
    }

    /// Sets when to come back, in milliseconds from now.
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
