//! Outcome of applying an announcement.

use crate::membership::{Incarnation, MemberId};

/// Outcome of applying an announcement to the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementOutcome {
    /// The first announcement under this name.
    New(MemberId),
    /// An announcement of the incarnation already known.
    Known(MemberId),
    /// A newer incarnation, which has replaced the given one.
    Replaced(MemberId, Incarnation),
    /// Refused, because the given newer incarnation holds the name.
    Superseded(Incarnation),
}
