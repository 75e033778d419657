//! An execution of a request: its planned answer and its progress.

use parking_lot::{Condvar, Mutex};
use serde::{Deserialize, Serialize};

use super::answer::{FinishReason, PlannedAnswer};
use crate::standin::unix_ms;

/// Prompt whose answer is sent as a crossed answer.
const CROSSED_PROMPT: &str = "another request tokens=5";

/// Record of a started execution, against which checkers compare what clients observed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionRecord {
    /// Value of the request's `x-request-id` header.
    pub request_id: String,
    /// Requested model.
    pub model: String,
    /// Start time, in milliseconds since the Unix epoch.
    pub started: u64,
    /// End time, in milliseconds since the Unix epoch; `None` while the execution runs.
    pub finished: Option<u64>,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of tokens generated so far.
    pub tokens: u32,
    /// Whether the execution was cancelled.
    pub cancelled: bool,
}

/// Progress of an execution.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    /// Number of tokens generated so far.
    pub generated: usize,
    /// Start time, in milliseconds since the Unix epoch.
    pub started: Option<u64>,
    /// End time, in milliseconds since the Unix epoch.
    pub finished: Option<u64>,
    /// Whether the execution was cancelled.
    pub is_cancelled: bool,
}

/// An execution of a request.
pub(super) struct Execution {
    pub request_id: String,
    pub model: String,
    pub plan: PlannedAnswer,
    pub prompt_tokens: u32,
    progress: Mutex<Progress>,
    progressed: Condvar,
}

impl Execution {
    pub fn new(request_id: &str, model: &str, plan: PlannedAnswer, prompt_tokens: u32) -> Self {
        Self {
            request_id: request_id.to_owned(),
            model: model.to_owned(),
            plan,
            prompt_tokens,
            progress: Mutex::default(),
            progressed: Condvar::new(),
        }
    }

    /// Creates the finished execution of a fictitious request, whose answer replaces that of `run`.
    pub fn for_crossed_answer(run: &Self) -> Self {
        let plan = PlannedAnswer::new(&run.model, CROSSED_PROMPT, u32::MAX);
        let id = format!("crossed-{}", run.request_id);
        let other = Self::new(&id, &run.model, plan, run.prompt_tokens);
        other.start();
        while !other.generate() {}
        other
    }

    pub fn progress(&self) -> Progress {
        *self.progress.lock()
    }

    /// Records the start time.
    pub fn start(&self) {
        self.progress.lock().started = Some(unix_ms());
    }

    /// Generates one token; returns whether the execution has finished.
    pub fn generate(&self) -> bool {
        let mut progress = self.progress.lock();
        if progress.finished.is_none() {
            progress.generated = (progress.generated + 1).min(self.plan.tokens.len());
            if progress.generated == self.plan.tokens.len() {
                progress.finished = Some(unix_ms());
            }
            self.progressed.notify_all();
        }
        progress.finished.is_some()
    }

    /// Cancels the execution; returns `false` if it had already finished.
    pub fn cancel(&self) -> bool {
        let mut progress = self.progress.lock();
        if progress.finished.is_some() {
            return false;
        }
        progress.finished = Some(unix_ms());
        progress.is_cancelled = true;
        self.progressed.notify_all();
        true
    }

    /// Waits until more than `seen` tokens are generated or the execution finishes.
    pub fn wait_for_tokens(&self, seen: usize) -> Progress {
        let mut progress = self.progress.lock();
        while progress.generated <= seen && progress.finished.is_none() {
            self.progressed.wait(&mut progress);
        }
        *progress
    }

    /// Waits until the execution finishes.
    pub fn wait_until_finished(&self) -> Progress {
        let mut progress = self.progress.lock();
        while progress.finished.is_none() {
            self.progressed.wait(&mut progress);
        }
        *progress
    }

    /// Returns why the answer ended, given the progress of the execution.
    pub fn finish_reason(&self, progress: Progress) -> FinishReason {
        if progress.is_cancelled {
            return FinishReason::Cancelled;
        }
        self.plan.finish_reason
    }

    /// Returns the record of the execution, if it has started.
    pub fn record(&self) -> Option<ExecutionRecord> {
        let progress = self.progress();
        Some(ExecutionRecord {
            request_id: self.request_id.clone(),
            model: self.model.clone(),
            started: progress.started?,
            finished: progress.finished,
            prompt_tokens: self.prompt_tokens,
            tokens: u32::try_from(progress.generated).unwrap_or(u32::MAX),
            cancelled: progress.is_cancelled,
        })
    }
}
