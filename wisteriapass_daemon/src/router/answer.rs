//! Sends the answer to the caller: as a stream of events, as one document, or passed through.

use std::io;

use serde::Serialize;

use crate::http::{Request, StreamWriter, respond_and_close, respond_json};
use crate::prelude::*;
use crate::router::openai::{ChatCompletion, Choice, Message, Usage, finish_reason};
use crate::run_wire::{Blob, Finish, HeaderLine, RunBill, RunRequest};

/// Header with the identity of the request.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Object type of a chunk of a streamed answer.
const CHUNK_OBJECT: &str = "chat.completion.chunk";

/// Object type of a complete answer.
const COMPLETION_OBJECT: &str = "chat.completion";

/// Progress of an answer.
enum State {
    /// Nothing was sent yet.
    Waiting(Request),
    /// The head was sent, and the body is being streamed.
    Streaming(StreamWriter),
    /// The answer was completed or aborted.
    Done,
}

/// Sends the answer to one request.
pub struct AnswerWriter {
    state: State,
    id: String,
    model: Option<String>,
    stream: bool,
    text: String,
}

impl AnswerWriter {
    /// Creates a writer that has sent nothing yet.
    pub fn new(req: Request, id: &str, request: &RunRequest, stream: bool) -> Self {
        let model = match request {
            RunRequest::Chat(chat) => Some(chat.model.clone()),
            RunRequest::Call(_) => None,
        };
        Self {
            state: State::Waiting(req),
            id: id.into(),
            model,
            stream,
            text: String::new(),
        }
    }

    /// Returns whether part of the answer was sent to the caller.
    pub fn has_started(&self) -> bool {
        !matches!(self.state, State::Waiting(_))
    }

    /// Discards buffered text before another attempt.
    pub fn discard_text(&mut self) {
        self.text.clear();
    }

    /// Sends the status and the headers of an answer from a plain HTTP service.
    ///
    /// # Errors
    ///
    /// The I/O error if the caller has closed the connection.
    pub fn send_head(&mut self, status: u16, headers: &[HeaderLine]) -> io::Result<()> {
        let lines: Vec<(&str, &str)> = headers
            .iter()
            .map(|h| (h.name.as_str(), h.value.as_str()))
            .collect();
        self.start_stream(status, &lines)
    }

    /// Sends a part of the body of an answer from a plain HTTP service.
    ///
    /// # Errors
    ///
    /// The I/O error if the caller has closed the connection.
    pub fn send_bytes(&mut self, data: &Blob) -> io::Result<()> {
        match &mut self.state {
            State::Streaming(out) => out.send(data),
            State::Waiting(_) | State::Done => Ok(()),
        }
    }

    /// Sends text of a chat completion, or buffers it if the caller did not ask for a stream.
    ///
    /// # Errors
    ///
    /// The I/O error if the caller has closed the connection.
    pub fn send_text(&mut self, text: &str) -> io::Result<()> {
        if !self.stream {
            self.text.push_str(text);
            return Ok(());
        }
        let delta = Message {
            role: None,
            content: text,
        };
        let choice = Choice {
            index: 0,
            delta: Some(delta),
            message: None,
            finish_reason: None,
        };
        let event = self.event(vec![choice], None);
        self.send_event(&event)
    }

    /// Completes the answer.
    ///
    /// # Errors
    ///
    /// The I/O error if the caller has closed the connection.
    pub fn send_end(&mut self, finish: Finish, bill: &RunBill) -> io::Result<()> {
        if self.model.is_none() {
            return self.close();
        }
        let usage = Usage {
            prompt_tokens: bill.prompt_tokens,
            completion_tokens: bill.output_tokens,
            total_tokens: bill.prompt_tokens + bill.output_tokens,
            billed_tokens: bill.amount,
        };
        if self.stream {
            return self.end_stream(finish, usage);
        }
        let message = Message {
            role: Some("assistant"),
            content: &self.text,
        };
        let choice = Choice {
            index: 0,
            delta: None,
            message: Some(message),
            finish_reason: Some(finish_reason(finish)),
        };
        let body = to_json(&self.completion(COMPLETION_OBJECT, vec![choice], Some(usage)));
        if let State::Waiting(req) = std::mem::replace(&mut self.state, State::Done) {
            respond_json(req, 200, body, &[]);
        }
        Ok(())
    }

    /// Sends a refusal: as the answer, or as the last event of a stream that has started.
    ///
    /// An answer of a plain HTTP service that has started has no place for it and is aborted.
    pub fn refuse(&mut self, refusal: &Refusal) {
        match std::mem::replace(&mut self.state, State::Done) {
            State::Waiting(req) => refuse(req, refusal),
            State::Streaming(mut out) => {
                if self.model.is_none() {
                    return out.abort();
                }
                let event = format!("data: {}\n\n", refusal.body());
                let _ = out.send(event.as_bytes()).and_then(|()| out.finish());
            }
            State::Done => {}
        }
    }

    fn end_stream(&mut self, finish: Finish, usage: Usage) -> io::Result<()> {
        let delta = Message {
            role: None,
            content: "",
        };
        let choice = Choice {
            index: 0,
            delta: Some(delta),
            message: None,
            finish_reason: Some(finish_reason(finish)),
        };
        let last = self.event(vec![choice], None);
        let billed = self.event(Vec::new(), Some(usage));
        self.send_event(&format!("{last}{billed}data: [DONE]\n\n"))?;
        self.close()
    }

    fn close(&mut self) -> io::Result<()> {
        match std::mem::replace(&mut self.state, State::Done) {
            State::Streaming(out) => out.finish(),
            State::Waiting(_) | State::Done => Ok(()),
        }
    }

    fn completion<'a>(
        &'a self,
        object: &'static str,
        choices: Vec<Choice<'a>>,
        usage: Option<Usage>,
    ) -> ChatCompletion<'a> {
        let model = self.model.as_deref().unwrap_or_default();
        ChatCompletion {
            id: &self.id,
            object,
            model,
            choices,
            usage,
        }
    }

    fn event(&self, choices: Vec<Choice<'_>>, usage: Option<Usage>) -> String {
        format!(
            "data: {}\n\n",
            to_json(&self.completion(CHUNK_OBJECT, choices, usage))
        )
    }

    fn send_event(&mut self, event: &str) -> io::Result<()> {
        self.start_stream(
            200,
            &[
                ("content-type", "text/event-stream"),
                ("cache-control", "no-store"),
            ],
        )?;
        match &mut self.state {
            State::Streaming(out) => out.send(event.as_bytes()),
            State::Waiting(_) | State::Done => Ok(()),
        }
    }

    fn start_stream(&mut self, status: u16, headers: &[(&str, &str)]) -> io::Result<()> {
        if self.has_started() {
            return Ok(());
        }
        if let State::Waiting(req) = std::mem::replace(&mut self.state, State::Done) {
            let mut all = headers.to_vec();
            // A plain HTTP service may set this header itself.
            if !all
                .iter()
                .any(|(name, _)| name.eq_ignore_ascii_case(REQUEST_ID_HEADER))
            {
                all.push((REQUEST_ID_HEADER, self.id.as_str()));
            }
            self.state = State::Streaming(StreamWriter::new(req, status, &all)?);
        }
        Ok(())
    }
}

/// Sends a refusal as the answer to a request.
pub fn refuse(req: Request, refusal: &Refusal) {
    let mut headers = Vec::new();
    let closes = refusal.reason == Reason::Stopping;
    if refusal.retry_after_ms > 0 {
        let seconds = refusal.retry_after_ms.div_ceil(1_000);
        headers.push(("retry-after", seconds.to_string()));
    }
    if closes {
        return respond_and_close(req, refusal.reason.status(), refusal.body(), &headers);
    }
    respond_json(req, refusal.reason.status(), refusal.body(), &headers);
}

fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
