//! One offered request from offer to end.

use smallvec::SmallVec;

use crate::keys::PoolKey;
use crate::queued_request::QueuedRequest;
use crate::{RequestInfo, TargetKey, Time};

/// One offered request from offer to end.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) request: RequestInfo,
    pub(crate) pool: PoolKey,
    /// Expected work, in output tokens.
    pub(crate) work: f64,
    /// Expected work of the output alone, in tokens.
    pub(crate) expected_output: f64,
    /// Latest start that keeps its deadlines.
    pub(crate) start_by: Time,
    pub(crate) offered_at: Time,
    /// Target that is to hold its prefix, if it has one.
    pub(crate) home: Option<TargetKey>,
    /// Its place in the queue while it waits.
    pub(crate) queued: Option<QueuedRequest>,
    pub(crate) hedged: bool,
    /// Copies in flight; empty while it waits.
    pub(crate) runs: SmallVec<[Run; 2]>,
}

/// One copy of a job at a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) target: TargetKey,
    pub(crate) first_token_at: Option<Time>,
    /// When its speed was last measured, and its tokens then.
    pub(crate) sampled_at: Time,
    pub(crate) sampled_tokens: u32,
}

impl Job {
    /// Returns its copy at a target.
    pub(crate) fn run_at(&mut self, target: TargetKey) -> Option<&mut Run> {
        self.runs.iter_mut().find(|r| r.target == target)
    }

    /// Returns whether any copy gave a token.
    pub(crate) fn has_first_token(&self) -> bool {
        self.runs.iter().any(|r| r.first_token_at.is_some())
    }
}
