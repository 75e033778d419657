//! A member as known to this process.

use std::time::Instant;

use slotmap::new_key_type;

use crate::membership::{Announcement, LeavingCause, Timeouts};

new_key_type! {
    /// Key of a member, valid only within this process.
    pub struct MemberId;
}

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// Heard from recently.
    Live,
    /// Finishes its current work and gets no new work.
    Leaving,
    /// Silent for some time; gets no new work until it is heard from again.
    Suspect,
    /// Silent for a long time.
    Gone,
}

/// A member with its last announcement and the deadlines after which silence changes its state.
#[derive(Clone, Debug)]
pub struct Member {
    /// Last announcement of the member.
    pub announcement: Announcement,
    /// First source of the information that the member is leaving.
    pub leaving_cause: Option<LeavingCause>,
    /// Whether the VM list has shown the VM as leaving since before this incarnation was known.
    pub(super) is_listed_leaving: bool,
    pub(super) suspect_at: Instant,
    pub(super) gone_at: Instant,
    /// State at the last report of transitions.
    pub(super) reported_state: MemberState,
}

impl Member {
    /// Creates a member that was heard from at `now`.
    pub(super) fn new(announcement: Announcement, now: Instant, timeouts: &Timeouts) -> Self {
        Self {
            announcement,
            leaving_cause: None,
            is_listed_leaving: false,
            suspect_at: now + timeouts.suspect_after,
            gone_at: now + timeouts.gone_after,
            reported_state: MemberState::Live,
        }
    }

    /// Extends the deadlines of a member that was heard from at `now`.
    pub(super) fn extend_deadlines(&mut self, now: Instant, timeouts: &Timeouts) {
        self.suspect_at = now + timeouts.suspect_after;
        self.gone_at = now + timeouts.gone_after;
    }

    /// Returns the state of the member at `now`.
    pub fn state(&self, now: Instant) -> MemberState {
        if now >= self.gone_at {
            return MemberState::Gone;
        }
        if self.leaving_cause.is_some() || self.is_listed_leaving {
            return MemberState::Leaving;
        }
        if now >= self.suspect_at {
            return MemberState::Suspect;
        }
        MemberState::Live
    }
}
