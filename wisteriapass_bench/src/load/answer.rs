//! What a caller is told.

use serde::{Deserialize, Serialize};
use wisteriapass_daemon::api::Refusal;

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// With a whole answer.
    Answered(Answered),
    /// With a refusal.
    Refused(Refused),
    /// Without either: the connection broke, went silent or spoke nonsense.
    Lost(Lost),
}

/// A whole answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answered {
    /// Identity of the run, as the answer gives it.
    pub run: String,
    /// Whether the answer is the one that the stand-in gives to this very request.
    pub is_expected: bool,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
    /// Tokens taken from the budget; none if the answer does not say, as the stand-ins' own.
    pub billed_tokens: Option<u64>,
    /// Writes to the path so far, as a plain service's stand-in counts them.
    pub effects: u64,
}

/// A refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// HTTP status; 200 if the refusal came within a stream.
    pub status: u16,
    /// What it says.
    pub refusal: Refusal,
}

/// A call that ended without answer or refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lost {
    /// What happened.
    pub cause: String,
    /// Pieces of the answer that had come.
    pub pieces: u64,
}

impl Outcome {
    /// Creates the outcome of a call without answer or refusal.
    pub fn lost(cause: impl Into<String>, pieces: u64) -> Self {
        Self::Lost(Lost {
            cause: cause.into(),
            pieces,
        })
    }

    /// Returns the whole answer, if there is one.
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
