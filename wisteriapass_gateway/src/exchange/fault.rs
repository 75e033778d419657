//! Failures of targets.

use derive_more::Display;

/// A failure of a target.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// No connection, or one that was closed before anything was sent.
    #[display("not_sent")]
    NotSent,
    /// The target is full, or is not the one that the request was addressed to.
    #[display("shed")]
    Shed,
    /// The response belongs to another request, or is not signed.
    #[display("wrong_answer")]
    WrongAnswer,
    /// No complete response came.
    #[display("lost")]
    Lost,
    /// The target returned an error.
    #[display("failed")]
    Failed,
    /// The stream broke off.
    #[display("stream_broken")]
    StreamBroken,
}

impl Fault {
    /// Returns the weight in the target's failure score. Shedding counts less: the target itself
    /// reports that it is full, and may have capacity a moment later.
    pub fn weight(self) -> f64 {
        match self {
            Self::Shed => 0.5,
            Self::NotSent | Self::WrongAnswer | Self::Lost | Self::Failed | Self::StreamBroken => {
                1.0
            }
        }
    }
}
