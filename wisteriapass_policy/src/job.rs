//! State of a request from its offer to its end.

use smallvec::SmallVec;

use crate::keys::PoolKey;
use crate::queued_request::QueuedRequest;
use crate::{RequestInfo, TargetKey, Time};

/// A request from its offer to its end.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) request: RequestInfo,
    pub(crate) pool: PoolKey,
    /// Expected work, in output tokens.
    pub(crate) work: f64,
    /// Expected work of the output alone, in tokens.
    pub(crate) expected_output: f64,
    /// Latest start that meets the deadlines.
    pub(crate) start_by: Time,
    pub(crate) offered_at: Time,
    /// Home target of its prefix, if it has one.
    pub(crate) home: Option<TargetKey>,
    /// Its queue entry while it waits.
    pub(crate) queued: Option<QueuedRequest>,
    pub(crate) hedged: bool,
    /// Copies in flight; empty while it waits.
    pub(crate) runs: SmallVec<[Run; 2]>,
}

/// A copy of a job running at a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) target: TargetKey,
    pub(crate) first_token_at: Option<Time>,
    /// Time of the last speed sample, and the number of tokens then.
    pub(crate) sampled_at: Time,
    pub(crate) sampled_tokens: u32,
}

impl Job {
    /// Returns the copy running at a target.
    pub(crate) fn run_at(&mut self, target: TargetKey) -> Option<&mut Run> {
        self.runs.iter_mut().find(|r| r.target == target)
    }

    /// Returns whether any copy has produced a token.
    pub(crate) fn has_first_token(&self) -> bool {
        self.runs.iter().any(|r| r.first_token_at.is_some())
    }
}
