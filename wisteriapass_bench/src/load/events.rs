//! Reads the answer to a chat, as a stream of events or as one JSON object.

use std::io::{BufRead, BufReader, Read};

use serde::Deserialize;
use wisteriapass_daemon::api::ErrorBody;

use super::{Answered, ChatWork, Outcome, Refused};
use crate::standin::expected_answer;

/// Data of the event that ends a stream.
const DONE: &str = "[DONE]";

/// Content of an event or of an answer that is not streamed.
#[derive(Deserialize)]
struct ChatAnswer {
    id: String,
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Option<Message>,
    message: Option<Message>,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Message {
    content: Option<String>,
}

#[derive(Clone, Copy, Deserialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    billed_tokens: Option<u64>,
}

/// Part of an answer received so far.
#[derive(Default)]
struct ReceivedAnswer {
    run: String,
    text: String,
    pieces: u64,
    is_finished: bool,
    usage: Option<Usage>,
}

/// Reads a streamed answer; calls `on_first_piece` when its first event arrives.
pub(super) fn read_stream(
    body: impl Read,
    chat: &ChatWork,
    on_first_piece: impl FnOnce(),
) -> Outcome {
    let mut received = ReceivedAnswer::default();
    let mut on_first_piece = Some(on_first_piece);
    for line in BufReader::new(body).lines() {
        let line = match line {
            Ok(line) => line,
            Err(e) => return Outcome::lost(e.to_string(), received.pieces),
        };
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == DONE {
            return received.into_outcome(chat);
        }
        if let Ok(error) = serde_json::from_str::<ErrorBody>(data) {
            return Outcome::Refused(Refused {
                status: 200,
                refusal: error.error,
            });
        }
        match serde_json::from_str(data) {
            Ok(body) => received.push(body),
            Err(e) => return Outcome::lost(format!("malformed event: {e}"), received.pieces),
        }
        if let Some(on_first_piece) = on_first_piece.take() {
            on_first_piece();
        }
    }
    Outcome::lost("the stream ended without its final event", received.pieces)
}

/// Reads an answer that is not streamed.
pub(super) fn read_single(mut body: impl Read, chat: &ChatWork) -> Outcome {
    let mut text = Vec::new();
    if let Err(e) = body.read_to_end(&mut text) {
        return Outcome::lost(e.to_string(), 0);
    }
    match serde_json::from_slice(&text) {
        Ok(body) => {
            let mut received = ReceivedAnswer::default();
            received.push(body);
            received.into_outcome(chat)
        }
        Err(e) => Outcome::lost(format!("malformed answer: {e}"), 0),
    }
}

impl ReceivedAnswer {
    fn push(&mut self, body: ChatAnswer) {
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

    /// Returns the outcome of an answer that has ended.
    fn into_outcome(self, chat: &ChatWork) -> Outcome {
        let Some(usage) = self.usage.filter(|_| self.is_finished) else {
            return Outcome::lost("the answer lacks its finish reason or usage", self.pieces);
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
