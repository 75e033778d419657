//! Outcome of a call for its caller.

use serde::{Deserialize, Serialize};
use wisteriapass_daemon::api::Refusal;

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It got a complete answer.
    Answered(Answered),
    /// It got a refusal.
    Refused(Refused),
    /// It got neither: the connection broke or timed out, or the response was malformed.
    Lost(Lost),
}

/// A complete answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answered {
    /// Run ID in the answer.
    pub run: String,
    /// Whether the content is the one that the target's stand-in produces for this request.
    pub is_expected: bool,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Tokens in the answer.
    pub completion_tokens: u64,
    /// Tokens charged to the budget; `None` if the answer does not state them, as when a stand-in
    /// is called directly, without a router.
    pub billed_tokens: Option<u64>,
    /// Number of writes to the path so far, as counted by the stand-in of a plain service.
    pub effects: u64,
}

/// A refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// HTTP status; 200 if the refusal arrived within a stream.
    pub status: u16,
    /// Content of the refusal.
    pub refusal: Refusal,
}

/// A call that ended with neither an answer nor a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lost {
    /// Description of the cause.
    pub cause: String,
    /// Number of pieces of the answer that were received before the call ended.
    pub pieces: u64,
}

impl Outcome {
    /// Creates the outcome of a call with neither an answer nor a refusal.
    pub fn lost(cause: impl Into<String>, pieces: u64) -> Self {
        Self::Lost(Lost {
            cause: cause.into(),
            pieces,
        })
    }

    /// Returns the answer, if there is one.
    pub fn answered(&self) -> Option<&Answered> {
        match self {
            Self::Answered(answered) => Some(answered),
            Self::Refused(_) | Self::Lost(_) => None,
        }
    }

    /// Returns the refusal, if there is one.
    pub fn refused(&self) -> Option<&Refused> {
        match self {
            Self::Refused(refused) => Some(refused),
            Self::Answered(_) | Self::Lost(_) => None,
        }
    }
}
