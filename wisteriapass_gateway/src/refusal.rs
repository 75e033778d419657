//! The closed set of answers that the router itself gives.

use derive_more::Display;
use hyper::StatusCode;

/// Why a request got no answer of a target.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// No configuration is known yet.
    #[display("not_configured")]
    NotConfigured,
    /// No route for host and path.
    #[display("no_route")]
    NoRoute,
    /// No account holds the key.
    #[display("unknown_key")]
    UnknownKey,
    /// This router stops before the answer would be whole.
    #[display("stopping")]
    Stopping,
    /// The body is larger than allowed.
    #[display("too_large")]
    TooLarge,
    /// The body did not arrive whole.
    #[display("body_broken")]
    BodyBroken,
    /// The account's total does not cover the request.
    #[display("budget_exhausted")]
    BudgetExhausted,
    /// This router's share of the account does not cover it now.
    #[display("share_short")]
    ShareShort {
        /// When there may be more, in milliseconds.
        retry_after_ms: u64,
    },
    /// What is left of the account is saved for more urgent requests, as money of it was lost.
    #[display("saved")]
    Saved,
    /// No target of the service is open.
    #[display("no_target")]
    NoTarget,
    /// No region in which both route and account let it run has a target of the service.
    #[display("no_region")]
    NoRegion,
    /// All targets that are left are cold and get no more from this router now.
    #[display("cold")]
    Cold,
    /// All targets are full.
    #[display("full")]
    Full,
    /// It crashes the targets that run it, and did not run.
    #[display("quarantined")]
    Quarantined {
        /// When the ban ends, in milliseconds.
        retry_after_ms: u64,
    },
    /// Targets that were asked did not run it, and it may not be sent on.
    #[display("not_taken")]
    NotTaken,
    /// The time is up, and it did not run.
    #[display("late_not_run")]
    LateNotRun,
    /// The time is up, and it may have run.
    #[display("late")]
    Late,
    /// This router ended before the answer was whole, and it may have run.
    #[display("cut_short")]
    CutShort,
    /// The target's answer was lost or wrong, and it may have run.
    #[display("outcome_unknown")]
    OutcomeUnknown,
}

impl Refusal {
    /// Returns the status.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::BudgetExhausted => StatusCode::PAYMENT_REQUIRED,
            Self::NotConfigured
            | Self::Stopping
            | Self::ShareShort { .. }
            | Self::Saved
            | Self::NoTarget
            | Self::NoRegion
            | Self::Cold
            | Self::Full
            | Self::Quarantined { .. }
            | Self::NotTaken
            | Self::LateNotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
            Self::CutShort | Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns when to come back, in milliseconds, if the request has not run and may yet.
    pub fn retry_after_ms(self) -> Option<u64> {
        match self {
            // A configuration is there within a second of the service's return.
            Self::NotConfigured => Some(1_000),
            Self::ShareShort { retry_after_ms } | Self::Quarantined { retry_after_ms } => {
                Some(retry_after_ms)
            }
            Self::NoTarget => Some(1_000),
            // Another router may send to them, and in a second this one.
            Self::Cold => Some(400),
            // Another router takes it at once.
            Self::Stopping => Some(100),
            // The time of a few short requests at a full target.
            Self::Full | Self::NotTaken => Some(300),
            Self::LateNotRun => Some(200),
            _ => None,
        }
    }
}
