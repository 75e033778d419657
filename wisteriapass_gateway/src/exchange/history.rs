//! What the history of a request have come to.

use smallvec::SmallVec;

use crate::prelude::*;
use crate::target::TargetKey;

/// A request's way to its last target.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendRecord {
    /// The target.
    pub key: TargetKey,
    /// When it began.
    pub at: Instant,
    /// Requests of this router under way there, itself included.
    pub running: u32,
}

/// What the history so far have come to.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    /// Targets that were asked or could not be reached.
    pub tried: SmallVec<[TargetKey; 4]>,
    /// Targets that the request was sent to.
    pub sent: u32,
    pub(super) unsent_count: usize,
    pub(super) last_send: Option<SendRecord>,
    pub(super) may_have_run: bool,
}

impl AttemptHistory {
    /// Returns what to say when the time is up.
    pub fn deadline_refusal(&self) -> Refusal {
        if self.may_have_run {
            return Refusal::Late;
        }
        Refusal::LateNotRun
    }

    /// Returns what to say when this router stops before an answer would be whole.
    pub(super) fn stopping_refusal(&self) -> Refusal {
        if self.may_have_run {
            return Refusal::OutcomeUnknown;
        }
        Refusal::Stopping
    }

    /// Returns what to say when all targets that are left are cold.
    pub(super) fn cold_refusal(&self) -> Refusal {
        if self.may_have_run {
            return Refusal::OutcomeUnknown;
        }
        Refusal::Cold
    }

    /// Returns what to say when it is sent to no other target.
    pub(super) fn give_up_refusal(&self) -> Refusal {
        if self.may_have_run {
            return Refusal::OutcomeUnknown;
        }
        Refusal::NotTaken
    }
}
