//! Responses that the router itself gives.

use derive_more::Display;
use hyper::StatusCode;

/// Why a request got no response from a target.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// No configuration is known yet.
    #[display("not_configured")]
    NotConfigured,
    /// No route matches host and path.
    #[display("no_route")]
    NoRoute,
    /// No account owns the API key.
    #[display("unknown_key")]
    UnknownKey,
    /// This router stops before the response would be complete.
    #[display("stopping")]
    Stopping,
    /// This router has too little processor time to serve the request in time.
    #[display("overloaded")]
    Overloaded,
    /// This router has too little memory to hold the request.
    #[display("memory_short")]
    MemoryShort,
    /// The body is larger than permitted.
    #[display("too_large")]
    TooLarge,
    /// The body did not arrive completely.
    #[display("body_broken")]
    BodyBroken,
    /// The account's prepaid total does not cover the request.
    #[display("budget_exhausted")]
    BudgetExhausted,
    /// This router's share of the account does not cover the request at the moment.
    #[display("share_short")]
    ShareShort {
        /// When more may be available, in milliseconds.
        retry_after_ms: u64,
    },
    /// The rest of the account is reserved for requests of higher priority, as part of its total
    /// was lost.
    #[display("saved")]
    Saved,
    /// No target of the service is available.
    #[display("no_target")]
    NoTarget,
    /// No region that both route and account permit has a target of the service.
    #[display("no_region")]
    NoRegion,
    /// No target of the software version that began the stream is available.
    #[display("no_same_version")]
    NoSameVersion,
    /// It is not known which software version began the stream, and several may have done so.
    #[display("unknown_version")]
    UnknownVersion,
    /// All targets that are left asked for no requests for a while.
    #[display("resting")]
    Resting {
        /// When the first of them may get requests, in milliseconds.
        retry_after_ms: u64,
    },
    /// All targets that are left are cold and get no more requests from this router for now.
    #[display("cold")]
    Cold,
    /// All targets that are left name limits and get no more requests from this router for now.
    #[display("limited")]
    Limited,
    /// All targets are full.
    #[display("full")]
    Full,
    /// The request crashes the targets that run it; it did not run.
    #[display("quarantined")]
    Quarantined {
        /// When the ban ends, in milliseconds.
        retry_after_ms: u64,
    },
    /// One more death of a target bans the request, and another copy of it is in flight; it did not
    /// run.
    #[display("suspect")]
    Suspect,
    /// The targets that were asked did not run the request, and it may not be retried.
    #[display("not_taken")]
    NotTaken,
    /// The deadline passed, and the request did not run.
    #[display("late_not_run")]
    LateNotRun,
    /// The deadline passed, and the request may have run.
    #[display("late")]
    Late,
    /// This router shut down before the response was complete, and the request may have run.
    #[display("cut_short")]
    CutShort,
    /// The response was lost or invalid, and the request may have run.
    #[display("outcome_unknown")]
    OutcomeUnknown,
}

impl Refusal {
    /// Returns the HTTP status.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::BudgetExhausted => StatusCode::PAYMENT_REQUIRED,
            Self::NotConfigured
            | Self::Stopping
            | Self::Overloaded
            | Self::MemoryShort
            | Self::ShareShort { .. }
            | Self::Saved
            | Self::NoTarget
            | Self::NoRegion
            | Self::NoSameVersion
            | Self::UnknownVersion
            | Self::Resting { .. }
            | Self::Cold
            | Self::Limited
            | Self::Full
            | Self::Quarantined { .. }
            | Self::Suspect
            | Self::NotTaken
            | Self::LateNotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
            Self::CutShort | Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns when to retry, in milliseconds; `None` if the request may have run or a retry would
    /// not succeed.
    pub fn retry_after_ms(self) -> Option<u64> {
        match self {
            // A configuration is available within a second after the store recovers.
            Self::NotConfigured => Some(1_000),
            Self::ShareShort { retry_after_ms }
            | Self::Resting { retry_after_ms }
            | Self::Quarantined { retry_after_ms } => Some(retry_after_ms),
            Self::NoTarget | Self::NoSameVersion => Some(1_000),
            // Another router may be permitted to send to them, and in a second this one is.
            Self::Cold | Self::Limited => Some(400),
            // Another router accepts the request at once.
            Self::Stopping | Self::Overloaded | Self::MemoryShort => Some(100),
            // Duration of a few short requests at a full target.
            Self::Full | Self::NotTaken => Some(300),
            // The copy in flight may have ended, or a death of its target be known.
            Self::Suspect => Some(500),
            Self::LateNotRun => Some(200),
            _ => None,
        }
    }
}
