//! Reading a chat's answer: events of a stream, or the whole at once.

use std::io::{BufRead, BufReader, Read};

use serde::Deserialize;
use wisteriapass_daemon::api::ErrorBody;

use super::{Answered, ChatWork, Outcome, Refused};
use crate::standin::expected_answer;

/// Event that ends each answer.
const DONE: &str = "[DONE]";

/// What is read of an event or a whole answer.
#[derive(Deserialize)]
struct Body {
    id: String,
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Option<Text>,
    message: Option<Text>,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Text {
    content: Option<String>,
}

#[derive(Clone, Copy, Deserialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    billed_tokens: Option<u64>,
}

/// What has come of an answer.
#[derive(Default)]
struct Received {
    run: String,
    text: String,
    pieces: u64,
    is_finished: bool,
    usage: Option<Usage>,
}

/// Reads a streamed answer; `first` is called when its first piece has come.
pub(super) fn read_stream(body: impl Read, chat: &ChatWork, first: impl FnOnce()) -> Outcome {
    let mut received = Received::default();
    let mut first = Some(first);
    for line in BufReader::new(body).lines() {
        let line = match line {
            Ok(line) => line,
            Err(e) => return Outcome::lost(e.to_string(), received.pieces),
        };
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == DONE {
            return received.judge(chat);
        }
        if let Ok(error) = serde_json::from_str::<ErrorBody>(data) {
            return Outcome::Refused(Refused {
                status: 200,
                refusal: error.error,
            });
        }
        match serde_json::from_str(data) {
            Ok(body) => received.take(body),
            Err(e) => return Outcome::lost(format!("malformed event: {e}"), received.pieces),
        }
        if let Some(first) = first.take() {
            first();
        }
    }
    Outcome::lost("the stream ended without its last event", received.pieces)
}

/// Reads a whole answer.
pub(super) fn read_whole(mut body: impl Read, chat: &ChatWork) -> Outcome {
    let mut text = Vec::new();
    if let Err(e) = body.read_to_end(&mut text) {
        return Outcome::lost(e.to_string(), 0);
    }
    match serde_json::from_slice(&text) {
        Ok(body) => {
            let mut received = Received::default();
            received.take(body);
            received.judge(chat)
        }
        Err(e) => Outcome::lost(format!("malformed answer: {e}"), 0),
    }
}

impl Received {
    fn take(&mut self, body: Body) {
        self.run = body.id;
        self.usage = body.usage.or(self.usage);
        for choice in body.choices {
            let text = choice.delta.or(choice.message).and_then(|t| t.content);
            if let Some(text) = text.filter(|t| !t.is_empty()) {
                self.text.push_str(&text);
                self.pieces += 1;
            }
            self.is_finished |= choice.finish_reason.is_some();
        }
    }

    /// Judges an answer that has come to its end.
    fn judge(self, chat: &ChatWork) -> Outcome {
        let Some(usage) = self.usage.filter(|_| self.is_finished) else {
            return Outcome::lost("the answer does not say why it ended", self.pieces);
        };
        let expected = expected_answer(&chat.model, &chat.prompt, chat.max_tokens);
        Outcome::Answered(Answered {
            run: self.run,
            is_expected: self.text == expected.concat(),
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
            billed_tokens: usage.billed_tokens,
            effects: 0,
        })
    }
}
