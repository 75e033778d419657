//! Outcome of hearing an announcement.

use crate::membership::{Incarnation, MemberId};

/// Outcome of hearing an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementOutcome {
    /// First word of this member.
    New(MemberId),
    /// A known incarnation.
    Known(MemberId),
    /// A newer incarnation has replaced this one.
    Replaced(MemberId, Incarnation),
    /// Refused: the name is held by this newer incarnation.
    Superseded(Incarnation),
}
