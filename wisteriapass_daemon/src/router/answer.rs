//! Writing the answer to the caller, as a stream, whole, or passed through.

use std::io;

use serde::Serialize;

use crate::http::{Request, StreamWriter, respond_and_close, respond_json};
use crate::prelude::*;
use crate::router::openai::{ChatCompletion as Body, Choice, Message, Usage, finish_reason};
use crate::run_wire::{Blob, Finish, HeaderLine, RunBill, RunRequest};

/// Header that names a request.
const ID_HEADER: &str = "x-request-id";

/// Object name of a streamed chunk.
const CHUNK: &str = "chat.completion.chunk";

/// Object name of a whole answer.
const WHOLE: &str = "chat.completion";

/// Where the answer stands.
enum State {
    /// Nothing was sent; the request waits for its answer.
    Waiting(Request),
    /// A stream goes on.
    Streaming(StreamWriter),
    /// The answer is over.
    Done,
}

/// The answer to one caller.
pub struct AnswerWriter {
    state: State,
    id: String,
    model: Option<String>,
    stream: bool,
    text: String,
}

impl AnswerWriter {
    /// Creates an answer of which nothing was sent.
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

    /// Returns whether the caller has received part of the answer.
    pub fn has_started(&self) -> bool {
        !matches!(self.state, State::Waiting(_))
    }

    /// Forgets text that was not sent, for another attempt.
    pub fn discard_text(&mut self) {
        self.text.clear();
    }

    /// Sends status and headers of a plain service's answer.
    ///
    /// # Errors
    ///
    /// The system's error if the caller went away.
    pub fn send_head(&mut self, status: u16, headers: &[HeaderLine]) -> io::Result<()> {
        let lines: Vec<(&str, &str)> = headers
            .iter()
            .map(|h| (h.name.as_str(), h.value.as_str()))
            .collect();
        self.begin(status, &lines)
    }

    /// Sends body bytes of a plain service's answer.
    ///
    /// # Errors
    ///
    /// The system's error if the caller went away.
    pub fn send_bytes(&mut self, data: &Blob) -> io::Result<()> {
        match &mut self.state {
            State::Streaming(out) => out.send(data),
            State::Waiting(_) | State::Done => Ok(()),
        }
    }

    /// Sends or keeps text of a chat.
    ///
    /// # Errors
    ///
    /// The system's error if the caller went away.
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

    /// Sends the end of a whole answer.
    ///
    /// # Errors
    ///
    /// The system's error if the caller went away.
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
        let body = json(&self.body(WHOLE, vec![choice], Some(usage)));
        if let State::Waiting(req) = std::mem::replace(&mut self.state, State::Done) {
            respond_json(req, 200, body, &[]);
        }
        Ok(())
    }

    /// Sends a refusal: as the whole answer, or as the last event of a stream.
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

    fn body<'a>(
        &'a self,
        object: &'static str,
        choices: Vec<Choice<'a>>,
        usage: Option<Usage>,
    ) -> Body<'a> {
        let model = self.model.as_deref().unwrap_or_default();
        Body {
            id: &self.id,
            object,
            model,
            choices,
            usage,
        }
    }

    fn event(&self, choices: Vec<Choice<'_>>, usage: Option<Usage>) -> String {
        format!("data: {}\n\n", json(&self.body(CHUNK, choices, usage)))
    }

    fn send_event(&mut self, event: &str) -> io::Result<()> {
        self.begin(
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

    fn begin(&mut self, status: u16, headers: &[(&str, &str)]) -> io::Result<()> {
        if self.has_started() {
            return Ok(());
        }
        if let State::Waiting(req) = std::mem::replace(&mut self.state, State::Done) {
            let mut all = headers.to_vec();
            // A plain service may name the request itself.
            if !all
                .iter()
                .any(|(name, _)| name.eq_ignore_ascii_case(ID_HEADER))
            {
                all.push((ID_HEADER, self.id.as_str()));
            }
            self.state = State::Streaming(StreamWriter::new(req, status, &all)?);
        }
        Ok(())
    }
}

/// Answers a request with a refusal.
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

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
