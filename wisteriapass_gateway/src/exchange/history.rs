//! Attempts that were made for a request.

use smallvec::SmallVec;
use wisteriapass_coord::origin::Software;

use crate::prelude::*;
use crate::target::TargetKey;

/// The last time that a request was sent to a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendRecord {
    pub key: TargetKey,
    /// When it was sent.
    pub at: Instant,
    /// This router's running requests at the target, including this one.
    pub running: u32,
    /// Prompt tokens that the target had to read before it could answer; `None` if it may hold a large
    /// part of them already.
    pub tokens_ahead: Option<u64>,
}

/// Attempts so far.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    /// Targets that were asked or could not be reached.
    pub tried: SmallVec<[TargetKey; 4]>,
    /// Number of targets that the request was sent to.
    pub sent: u32,
    /// Software that wrote the events which the client has, if any.
    pub origin: Option<Software>,
    pub(super) unsent_count: usize,
    pub(super) last_send: Option<SendRecord>,
    pub(super) may_have_run: bool,
}

impl AttemptHistory {
    /// Creates the history of a request that was not sent; `origin` is the software that began the
    /// stream which the client resumes.
    pub fn new(origin: Option<Software>) -> Self {
        Self {
            origin,
            ..Self::default()
        }
    }

    /// Returns the refusal for a request whose deadline passed.
    pub fn deadline_refusal(&self) -> Refusal {
        if self.may_have_run {
            return Refusal::Late;
        }
        Refusal::LateNotRun
    }

    /// Returns the refusal for a request that cannot be completed before this router stops.
    pub(super) fn stopping_refusal(&self) -> Refusal {
        if self.may_have_run {
            return Refusal::OutcomeUnknown;
        }
        Refusal::Stopping
    }

    /// Returns a refusal that promises that the request did not run, unless it may have run.
    pub(super) fn refuse_unless_run(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run {
            return Refusal::OutcomeUnknown;
        }
        refusal
    }

    /// Returns the refusal for a request that is not retried.
    pub(super) fn give_up_refusal(&self) -> Refusal {
        if self.may_have_run {
            return Refusal::OutcomeUnknown;
        }
        Refusal::NotTaken
    }
}
