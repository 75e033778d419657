//! What a target did wrong with a request.

use derive_more::Display;

/// A failure of a target.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// No connection to it, or one that closed before anything was sent.
    #[display("not_sent")]
    NotSent,
    /// It is full, or not the target that was meant.
    #[display("shed")]
    Shed,
    /// Its answer belongs to another request, or is not signed.
    #[display("wrong_answer")]
    WrongAnswer,
    /// No whole answer came.
    #[display("lost")]
    Lost,
    /// It answered with a failure.
    #[display("failed")]
    Failed,
    /// Its stream broke.
    #[display("stream_broken")]
    StreamBroken,
}

impl Fault {
    /// Returns the weight in the target's rank: a target that sheds says itself that it is full,
    /// and may have room a moment later.
    pub fn weight(self) -> f64 {
        match self {
            Self::Shed => 0.5,
            Self::NotSent | Self::WrongAnswer | Self::Lost | Self::Failed | Self::StreamBroken => {
                1.0
            }
        }
    }
}
