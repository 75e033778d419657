//! One execution of a request: its planned answer and how far it has come.

use parking_lot::{Condvar, Mutex};
use serde::{Deserialize, Serialize};

use super::answer::{FinishReason, PlannedAnswer};
use crate::standin::unix_ms;

/// Prompt of the answer that a crossed connection shows.
const CROSSED_PROMPT: &str = "another request tokens=5";

/// An execution that was started, as the ground truth for checkers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionRecord {
    /// The request's `x-request-id`.
    pub request_id: String,
    /// Model it asked for.
    pub model: String,
    /// When it started, in milliseconds since the Unix epoch.
    pub started: u64,
    /// When it ended, in milliseconds since the Unix epoch; none while it runs.
    pub finished: Option<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated so far.
    pub tokens: u32,
    /// Whether it was cancelled before its end.
    pub cancelled: bool,
}

/// Where an execution stands.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    /// Tokens generated.
    pub generated: usize,
    /// When it started, in milliseconds since the Unix epoch.
    pub started: Option<u64>,
    /// When it ended, in milliseconds since the Unix epoch.
    pub finished: Option<u64>,
    /// Whether it was cancelled.
    pub is_cancelled: bool,
}

/// One execution of a request.
pub(super) struct Execution {
    pub request_id: String,
    pub model: String,
    pub plan: PlannedAnswer,
    pub prompt_tokens: u32,
    progress: Mutex<Progress>,
    moved: Condvar,
}

impl Execution {
    pub fn new(request_id: &str, model: &str, plan: PlannedAnswer, prompt_tokens: u32) -> Self {
        Self {
            request_id: request_id.to_owned(),
            model: model.to_owned(),
            plan,
            prompt_tokens,
            progress: Mutex::default(),
            moved: Condvar::new(),
        }
    }

    /// Creates the ended execution of a request that was never asked, to be shown in place of
    /// `run`'s.
    pub fn crossed_with(run: &Self) -> Self {
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

    /// Marks the start.
    pub fn start(&self) {
        self.progress.lock().started = Some(unix_ms());
    }

    /// Generates one token; returns whether the execution has ended.
    pub fn generate(&self) -> bool {
        let mut progress = self.progress.lock();
        if progress.finished.is_none() {
            progress.generated = (progress.generated + 1).min(self.plan.tokens.len());
            if progress.generated == self.plan.tokens.len() {
                progress.finished = Some(unix_ms());
            }
            self.moved.notify_all();
        }
        progress.finished.is_some()
    }

    /// Ends the execution early; returns whether it had not ended by itself.
    pub fn cancel(&self) -> bool {
        let mut progress = self.progress.lock();
        if progress.finished.is_some() {
            return false;
        }
        progress.finished = Some(unix_ms());
        progress.is_cancelled = true;
        self.moved.notify_all();
        true
    }

    /// Waits until more than `seen` tokens were generated or the execution ended.
    pub fn wait_past(&self, seen: usize) -> Progress {
        let mut progress = self.progress.lock();
        while progress.generated <= seen && progress.finished.is_none() {
            self.moved.wait(&mut progress);
        }
        *progress
    }

    /// Waits until the execution ended.
    pub fn wait_end(&self) -> Progress {
        let mut progress = self.progress.lock();
        while progress.finished.is_none() {
            self.moved.wait(&mut progress);
        }
        *progress
    }

    /// Returns why it ended, given where it stands.
    pub fn finish(&self, progress: Progress) -> FinishReason {
        if progress.is_cancelled {
            return FinishReason::Cancelled;
        }
        self.plan.finish
    }

    /// Returns its record, if it was started.
    pub fn ran(&self) -> Option<ExecutionRecord> {
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
