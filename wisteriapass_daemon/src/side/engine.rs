//! Running a chat completion at a model engine.

use serde::Serialize;

use crate::http::{Frame, StreamError, stream_lines};
use crate::metrics::{DropReason, RetryReason};
use crate::prelude::*;
use crate::run_wire::{ChatRun, Finish, RunEvent};
use crate::side::engine_wire::{Cancel, Chunk, Completion, Resume, Usage};
use crate::side::{Run, SideIdentity};

/// Longest wait for an engine's first token, in seconds.
const FIRST_TOKEN_S: u64 = 30;

/// Longest wait between two tokens before the connection counts as silent, in seconds.
const TOKEN_GAP_S: u64 = 3;

/// Time between looks at whether the run was cancelled, in milliseconds.
const LOOK_MS: u64 = 200;

/// Fresh connections tried for one run.
const MOST_RESUMES: u32 = 3;

/// How one exchange with the engine ended.
enum Exchange {
    /// The answer is whole.
    Whole,
    /// The run was cancelled.
    Cancelled,
    /// The connection went silent or broke; the engine may go on.
    Lost(RetryReason),
    /// The engine refused or failed.
    Failed,
}

/// A chat completion at the engine beside this process.
pub struct EngineRun<'a> {
    run: &'a Arc<Run>,
    chat: &'a ChatRun,
    side: &'a SideIdentity,
    metrics: &'a Metrics,
    received: usize,
    usage: Option<Usage>,
    finish: Option<Finish>,
    foreign: bool,
}

impl<'a> EngineRun<'a> {
    /// Creates the work for a run.
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
            foreign: false,
        }
    }

    /// Runs it to its end and makes the bill.
    pub fn execute(mut self) {
        let mut exchange = self.exchange(self.completion());
        for _ in 0..MOST_RESUMES {
            let Exchange::Lost(reason) = exchange else {
                break;
            };
            self.metrics.count_retry(reason);
            exchange = self.exchange(self.resume());
        }
        let finish = match exchange {
            Exchange::Whole => self.finish.unwrap_or(Finish::Stop),
            Exchange::Cancelled => {
                self.cancel();
                Finish::Cancelled
            }
            Exchange::Lost(_) | Exchange::Failed => {
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

    /// Tells the engine to stop; what it does not hear it finds out at the closed connection.
    fn cancel(&self) {
        let body = Cancel {
            request_id: &self.run.dispatch().run,
        };
        let _ = self
            .request("/v1/cancel", &body)
            .with_timeout(TOKEN_GAP_S)
            .send();
    }

    fn request(&self, path: &str, body: &impl Serialize) -> minreq::Request {
        minreq::post(format!("http://{}{path}", self.side.target))
            .with_header("content-type", "application/json")
            .with_header("x-request-id", &self.run.dispatch().run)
            .with_header("x-priority", self.chat.priority.to_string())
            .with_body(serde_json::to_string(body).unwrap_or_default())
    }

    fn exchange(&mut self, req: minreq::Request) -> Exchange {
        let stream = stream_lines(req);
        self.foreign = false;
        let mut give_up_at = Instant::now() + Duration::from_secs(FIRST_TOKEN_S);
        loop {
            if self.run.is_cancelled() {
                return Exchange::Cancelled;
            }
            let look_at = give_up_at.min(Instant::now() + Duration::from_millis(LOOK_MS));
            let frame = match stream.next(look_at) {
                Ok(frame) => frame,
                Err(StreamError::TimedOut) if Instant::now() < give_up_at => continue,
                Err(StreamError::TimedOut) => return Exchange::Lost(RetryReason::Silent),
                Err(StreamError::Broken { .. }) => return Exchange::Lost(RetryReason::Broken),
                Err(StreamError::NotSent { .. }) => return Exchange::Failed,
            };
            match frame {
                Frame::Head { status: 200, .. } => {}
                Frame::Head { .. } => return Exchange::Failed,
                Frame::Line(line) => {
                    if self.take_line(&line) {
                        return self.whole();
                    }
                    if self.received > 0 {
                        give_up_at = Instant::now() + Duration::from_secs(TOKEN_GAP_S);
                    }
                }
                Frame::Bytes(_) => {}
                Frame::End => return Exchange::Lost(RetryReason::Broken),
            }
        }
    }

    /// Judges an ended answer: only one with all its tokens is whole.
    fn whole(&self) -> Exchange {
        let counted = self.usage.map(|u| u.completion_tokens);
        if counted == Some(self.received as u64) && self.finish.is_some() {
            return Exchange::Whole;
        }
        if self.foreign {
            return Exchange::Lost(RetryReason::Broken);
        }
        Exchange::Failed
    }

    /// Takes one line; returns whether it was the last.
    fn take_line(&mut self, line: &str) -> bool {
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
            self.foreign = true;
            self.metrics.count_dropped(DropReason::Crossed);
            return false;
        }
        self.take_chunk(chunk);
        false
    }

    fn take_chunk(&mut self, chunk: Chunk) {
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
