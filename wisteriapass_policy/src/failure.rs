//! Results of a run at a target.

use derive_more::Display;

/// Reason why a run at a target failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum FailureKind {
    /// The side process was unreachable; nothing was sent.
    #[display("unreachable")]
    Unreachable,
    /// The side process refused the run before it started.
    #[display("declined")]
    Declined,
    /// The connection was lost after the request was sent.
    #[display("connection_lost")]
    ConnectionLost,
    /// No data arrived within the timeout.
    #[display("silent")]
    Silent,
    /// The target returned an error.
    #[display("target_error")]
    TargetError,
}

impl FailureKind {
    /// Returns whether the request may have run.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::Unreachable | Self::Declined)
    }
}

/// Result of a successful run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Number of generated tokens.
    pub output_tokens: u32,
}
