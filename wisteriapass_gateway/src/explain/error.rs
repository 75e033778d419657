//! Why a question has no answer.

use derive_more::{Display, Error};
use hyper::StatusCode;
use serde::{Deserialize, Serialize};

/// Why a question has no answer. Each message says what to do.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ExplainError {
    /// This router has no configuration yet.
    #[display("this router knows no configuration yet; ask again in a second, or another router")]
    NotConfigured,
    /// No route has the host.
    #[display("no route has the host {host:?}; compare the hosts of the configuration's routes")]
    UnknownHost {
        /// The host.
        host: String,
    },
    /// No route of the host matches the path.
    #[display(
        "no route of host {host:?} matches the path {path:?}; compare the prefixes of its routes"
    )]
    UnknownPath {
        /// The host.
        host: String,
        /// The path.
        path: String,
    },
    /// No account has the name.
    #[display("no account is named {name:?}; compare the accounts of the configuration")]
    UnknownAccount {
        /// The name.
        name: String,
    },
    /// No account owns the key.
    #[display("no account owns the key, so requests with it are refused; check the key")]
    UnknownKey,
    /// The route serves accounts only, and none was given.
    #[display("the route serves accounts only; name an account or give its key")]
    AccountRequired,
    /// The question cannot be read.
    #[display("the question is malformed: {cause}")]
    Malformed {
        /// Description of the mistake.
        cause: String,
    },
    /// The question is too large.
    #[display("the question has more than {max_bytes} bytes; leave out the body of the request")]
    TooLarge {
        /// Maximum size, in bytes.
        max_bytes: usize,
    },
    /// The method is not `POST`.
    #[display("questions are sent with POST")]
    MethodNotAllowed,
}

/// JSON form of an error.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorAnswer {
    /// The error.
    pub error: ErrorDetail,
}

/// An error as tools read it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Kind of the error.
    pub kind: String,
    /// What is wrong and what to do.
    pub message: String,
}

impl ExplainError {
    /// Returns the kind, by which programs go.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::NotConfigured => "not_configured",
            Self::UnknownHost { .. } => "unknown_host",
            Self::UnknownPath { .. } => "unknown_path",
            Self::UnknownAccount { .. } => "unknown_account",
            Self::UnknownKey => "unknown_key",
            Self::AccountRequired => "account_required",
            Self::Malformed { .. } => "malformed",
            Self::TooLarge { .. } => "too_large",
            Self::MethodNotAllowed => "method_not_allowed",
        }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::NotConfigured => StatusCode::SERVICE_UNAVAILABLE,
            Self::UnknownHost { .. }
            | Self::UnknownPath { .. }
            | Self::UnknownAccount { .. }
            | Self::UnknownKey => StatusCode::NOT_FOUND,
            Self::AccountRequired | Self::Malformed { .. } => StatusCode::BAD_REQUEST,
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
        }
    }

    /// Returns the JSON form.
    pub fn answer(&self) -> ErrorAnswer {
        ErrorAnswer {
            error: ErrorDetail {
                kind: self.kind().to_owned(),
                message: self.to_string(),
            },
        }
    }
}
