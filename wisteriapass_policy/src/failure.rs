//! How a run at a target ended.

use derive_more::Display;

/// Why a run at a target did not give its answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum FailureKind {
    /// The side process could not be reached; nothing was sent.
    #[display("unreachable")]
    Unreachable,
    /// The side process refused the run before it began.
    #[display("declined")]
    Declined,
    /// The connection was lost after the request was sent.
    #[display("connection_lost")]
    ConnectionLost,
    /// Nothing came for too long.
    #[display("silent")]
    Silent,
    /// The target answered with an error of its own.
    #[display("target_error")]
    TargetError,
}

impl FailureKind {
    /// Returns whether the request may have run.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::Unreachable | Self::Declined)
    }
}

/// How a run ended that gave its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Tokens generated.
    pub output_tokens: u32,
}
