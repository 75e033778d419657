//! What the tries of a request have come to.

use smallvec::SmallVec;

use crate::prelude::*;
use crate::target::TargetKey;

/// A request's way to its last target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sending {
    /// The target.
    pub key: TargetKey,
    /// When it began.
    pub at: Instant,
    /// Requests of this router under way there, itself included.
    pub running: u32,
}

/// What the tries so far have come to.
#[derive(Debug, Default)]
pub struct Tries {
    /// Targets that were asked or could not be reached.
    pub tried: SmallVec<[TargetKey; 4]>,
    /// Targets that the request was sent to.
    pub sent: u32,
    pub(super) unsent: usize,
    pub(super) sending: Option<Sending>,
    pub(super) may_have_run: bool,
}

impl Tries {
    /// Returns what to say when the time is up.
    pub fn late(&self) -> Refusal {
        if self.may_have_run {
            return Refusal::Late;
        }
        Refusal::LateNotRun
    }

    /// Returns what to say when this router stops before an answer would be whole.
    pub(super) fn stopping(&self) -> Refusal {
        if self.may_have_run {
            return Refusal::OutcomeUnknown;
        }
        Refusal::Stopping
    }

    /// Returns what to say when all targets that are left are cold.
    pub(super) fn cold(&self) -> Refusal {
        if self.may_have_run {
            return Refusal::OutcomeUnknown;
        }
        Refusal::Cold
    }

    /// Returns what to say when it is sent to no other target.
    pub(super) fn given_up(&self) -> Refusal {
        if self.may_have_run {
            return Refusal::OutcomeUnknown;
        }
        Refusal::NotTaken
    }
}
