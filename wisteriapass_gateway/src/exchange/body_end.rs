//! How the body of a response ended.

use derive_more::Display;

/// Where a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndPoint {
    /// Where a complete body may end.
    Possible,
    /// Inside an event.
    InsideEvent,
    /// Before the first event.
    BeforeEvents,
}

/// What was found of a body whose end proves nothing.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum UnprovenEnd {
    /// The stream ended before its first event.
    #[display("no_event")]
    NoEvent,
    /// The connection ended when the target had to stop.
    #[display("deadline")]
    Deadline,
    /// The stream ended inside an event.
    #[display("inside_event")]
    InsideEvent,
    /// The connection ended, and the target did too, or does not respond any more.
    #[display("target_ended")]
    TargetEnded,
    /// The connection ended, and the target lives.
    #[display("target_alive")]
    TargetAlive,
}
