//! Execution of a chat completion at a model engine.

use serde::Serialize;

use crate::http::{Frame, StreamError, send_limited, stream_lines};
use crate::metrics::{DropReason, RetryReason};
use crate::prelude::*;
use crate::run_wire::{ChatRun, Finish, RunEvent};
use crate::side::engine_wire::{Cancel, Chunk, Completion, Resume, Usage};
use crate::side::{Run, SideIdentity};

/// Timeout for an engine's first token, in seconds.
const FIRST_TOKEN_TIMEOUT_S: u64 = 30;

/// Timeout between two tokens, after which the connection counts as silent, in seconds.
const TOKEN_TIMEOUT_S: u64 = 3;

/// Maximum size of the answer to a cancellation, in bytes.
const MAX_CANCEL_BYTES: u64 = 64 << 10;

/// Interval at which a run is checked for cancellation, in milliseconds.
const CANCEL_POLL_MS: u64 = 200;

/// Maximum number of times that a run is resumed on a new connection.
const MAX_RESUMES: u32 = 3;

/// Outcome of one exchange with the engine.
enum ExchangeOutcome {
    /// The answer is complete.
    Complete,
    /// The run was cancelled.
    Cancelled,
    /// The connection went silent or broke; the engine may still be running.
    Lost(RetryReason),
    /// The engine refused the request or failed.
    Failed,
}

/// Execution of one chat completion at the engine.
pub struct EngineRun<'a> {
    run: &'a Arc<Run>,
    chat: &'a ChatRun,
    side: &'a SideIdentity,
    metrics: &'a Metrics,
    /// Number of text chunks received.
    received: usize,
    usage: Option<Usage>,
    finish: Option<Finish>,
    /// Whether the current exchange had a chunk of another request.
    saw_foreign_chunk: bool,
}

impl<'a> EngineRun<'a> {
    /// Creates the execution of a run.
    pub fn new(
        run: &'a Arc<Run>,
        chat: &'a ChatRun,
        side: &'a SideIdentity,
        metrics: &'a Metrics,
    ) -> Self {
        Self {
            run,
            chat,
            side,
            metrics,
            received: 0,
            usage: None,
            finish: None,
            saw_foreign_chunk: false,
        }
    }

    /// Executes the run to its end and issues the bill.
    pub fn execute(mut self) {
        let mut outcome = self.exchange(self.completion());
        for _ in 0..MAX_RESUMES {
            let ExchangeOutcome::Lost(reason) = outcome else {
                break;
            };
            self.metrics.count_retry(reason);
            outcome = self.exchange(self.resume());
        }
        let finish = match outcome {
            ExchangeOutcome::Complete => self.finish.unwrap_or(Finish::Stop),
            ExchangeOutcome::Cancelled => {
                self.cancel();
                Finish::Cancelled
            }
            ExchangeOutcome::Lost(_) | ExchangeOutcome::Failed => {
                self.cancel();
                Finish::Failed
            }
        };
        self.end(finish);
    }

    fn end(&self, finish: Finish) {
        let received = self.received as u64;
        let (prompt, output) = match self.usage {
            Some(u) => (u.prompt_tokens, u.completion_tokens),
            None => (0, received),
        };
        let ran_at = format!("{}/{}", self.side.name, self.side.incarnation);
        self.run.end(&ran_at, finish, prompt, output);
    }

    fn completion(&self) -> minreq::Request {
        let body = Completion {
            model: &self.chat.model,
            messages: &self.chat.messages,
            max_tokens: self.chat.max_tokens,
            stream: true,
            other: &self.chat.other,
        };
        self.request("/v1/chat/completions", &body)
    }

    fn resume(&self) -> minreq::Request {
        let body = Resume {
            request_id: &self.run.dispatch().run,
            from: self.received,
        };
        self.request("/v1/resume", &body)
    }

    /// Tells the engine to stop. If the call is lost, the engine notices the closed connection.
    fn cancel(&self) {
        let body = Cancel {
            request_id: &self.run.dispatch().run,
        };
        let request = self.request("/v1/cancel", &body);
        let _ = send_limited(request.with_timeout(TOKEN_TIMEOUT_S), MAX_CANCEL_BYTES);
    }

    fn request(&self, path: &str, body: &impl Serialize) -> minreq::Request {
        minreq::post(format!("http://{}{path}", self.side.target))
            .with_header("content-type", "application/json")
            .with_header("x-request-id", &self.run.dispatch().run)
            .with_header("x-priority", self.chat.priority.to_string())
            .with_body(serde_json::to_string(body).unwrap_or_default())
    }

    fn exchange(&mut self, req: minreq::Request) -> ExchangeOutcome {
        let stream = stream_lines(req);
        self.saw_foreign_chunk = false;
        let mut deadline = Instant::now() + Duration::from_secs(FIRST_TOKEN_TIMEOUT_S);
        loop {
            if self.run.is_cancelled() {
                return ExchangeOutcome::Cancelled;
            }
            let poll_at = deadline.min(Instant::now() + Duration::from_millis(CANCEL_POLL_MS));
            let frame = match stream.next(poll_at) {
                Ok(frame) => frame,
                Err(StreamError::TimedOut) if Instant::now() < deadline => continue,
                Err(StreamError::TimedOut) => return ExchangeOutcome::Lost(RetryReason::Silent),
                Err(StreamError::Broken { .. }) => {
                    return ExchangeOutcome::Lost(RetryReason::Broken);
                }
                Err(StreamError::NotSent { .. }) => return ExchangeOutcome::Failed,
            };
            match frame {
                Frame::Head { status: 200, .. } => {}
                Frame::Head { .. } => return ExchangeOutcome::Failed,
                Frame::Line(line) => {
                    if self.handle_line(&line) {
                        return self.check_complete();
                    }
                    if self.received > 0 {
                        deadline = Instant::now() + Duration::from_secs(TOKEN_TIMEOUT_S);
                    }
                }
                Frame::Bytes(_) => {}
                Frame::End => return ExchangeOutcome::Lost(RetryReason::Broken),
            }
        }
    }

    /// Checks an answer that ended: it is complete only if no token is missing.
    fn check_complete(&self) -> ExchangeOutcome {
        let reported = self.usage.map(|u| u.completion_tokens);
        if reported == Some(self.received as u64) && self.finish.is_some() {
            return ExchangeOutcome::Complete;
        }
        if self.run.is_too_large() {
            return ExchangeOutcome::Failed;
        }
        if self.saw_foreign_chunk {
            return ExchangeOutcome::Lost(RetryReason::Broken);
        }
        ExchangeOutcome::Failed
    }

    /// Handles one line; returns whether it was the last.
    fn handle_line(&mut self, line: &str) -> bool {
        let Some(data) = line.strip_prefix("data: ") else {
            return false;
        };
        if data == "[DONE]" {
            return true;
        }
        let Ok(chunk) = serde_json::from_str::<Chunk>(data) else {
            self.metrics.count_dropped(DropReason::Malformed);
            return false;
        };
        if chunk.id != self.run.dispatch().run {
            self.saw_foreign_chunk = true;
            self.metrics.count_dropped(DropReason::Crossed);
            return false;
        }
        self.handle_chunk(chunk);
        self.run.is_too_large()
    }

    fn handle_chunk(&mut self, chunk: Chunk) {
        if chunk.usage.is_some() {
            self.usage = chunk.usage;
        }
        for choice in chunk.choices {
            if let Some(text) = choice.delta.content.filter(|t| !t.is_empty()) {
                self.received += 1;
                self.run.push(RunEvent::Text { text });
            }
            match choice.finish_reason.as_deref() {
                Some("length") => self.finish = Some(Finish::Length),
                Some(_) => self.finish = Some(Finish::Stop),
                None => {}
            }
        }
    }
}
