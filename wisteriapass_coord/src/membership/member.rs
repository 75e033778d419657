//! One member as this process knows it.

use std::time::Instant;

use slotmap::new_key_type;

use crate::membership::{Announcement, LeavingCause, Timeouts};

new_key_type! {
    /// Key of a member in this process's memory.
    pub struct MemberId;
}

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// Heard of lately.
    Live,
    /// Finishes what it has; gets no new work.
    Leaving,
    /// Silent for a while; gets no new work until heard again.
    Suspect,
    /// Silent for long.
    Gone,
}

/// One member: its last announcement and the deadlines that its silence runs into.
#[derive(Clone, Debug)]
pub struct Member {
    /// What it said of itself last.
    pub announcement: Announcement,
    /// Who said first that it is leaving.
    pub leaving_cause: Option<LeavingCause>,
    /// Whether the VM list calls its VM leaving since before this incarnation was known.
    pub(super) held_by_list: bool,
    pub(super) suspect_at: Instant,
    pub(super) gone_at: Instant,
    pub(super) reported: MemberState,
}

impl Member {
    /// Creates a member that was heard of at `now`.
    pub(super) fn new(said: Announcement, now: Instant, timeouts: &Timeouts) -> Self {
        Self {
            announcement: said,
            leaving_cause: None,
            held_by_list: false,
            suspect_at: now + timeouts.suspect_after,
            gone_at: now + timeouts.gone_after,
            reported: MemberState::Live,
        }
    }

    /// Notes that the member was heard of at `now`.
    pub(super) fn touch(&mut self, now: Instant, timeouts: &Timeouts) {
        self.suspect_at = now + timeouts.suspect_after;
        self.gone_at = now + timeouts.gone_after;
    }

    /// Returns the state at `now`.
    pub fn state(&self, now: Instant) -> MemberState {
        if now >= self.gone_at {
            return MemberState::Gone;
        }
        if self.leaving_cause.is_some() || self.held_by_list {
            return MemberState::Leaving;
        }
        if now >= self.suspect_at {
            return MemberState::Suspect;
        }
        MemberState::Live
    }
}
