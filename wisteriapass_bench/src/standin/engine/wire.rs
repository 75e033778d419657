//! Requests and answers of the engine's stand-in.

use serde::{Deserialize, Serialize};

use super::answer::{FinishReason, prompt_tokens};
use super::execution::{Execution, Progress};

/// Tokens an answer may have whose request names no limit.
const DEFAULT_MAX_TOKENS: u32 = 512;

/// One message of a chat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Message {
    pub role: String,
    pub content: String,
}

/// Body of `POST /v1/chat/completions`; other keys are ignored.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct ChatRequest {
    pub model: String,
    pub messages: Vec<Message>,
    pub max_tokens: Option<u32>,
    #[serde(default)]
    pub stream: bool,
}

impl ChatRequest {
    /// Returns the content of the last message.
    pub fn prompt(&self) -> &str {
        self.messages.last().map_or("", |m| m.content.as_str())
    }

    /// Returns the tokens of all messages.
    pub fn prompt_tokens(&self) -> u32 {
        prompt_tokens(self.messages.iter().map(|m| m.content.len()).sum())
    }

    /// Returns the most tokens the answer may have.
    pub fn max_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }
}

/// Body of `POST /v1/resume`.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Resume {
    pub request_id: String,
    pub from: usize,
}

/// Body of `POST /v1/cancel`.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Cancel {
    pub request_id: String,
}

/// Answer of `/v1/cancel`.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct Cancelled {
    /// Whether the request was ended by this.
    pub cancelled: bool,
    /// Whether it had started.
    pub ran: bool,
}

/// Answer of `GET /load`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// When the report was made, in milliseconds since the Unix epoch.
    pub taken_at_ms: u64,
    /// Requests in slots.
    pub running: usize,
    /// Requests that wait for one.
    pub queued: usize,
    /// Slots without a request.
    pub free_slots: usize,
}

/// One event of a streamed answer.
#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: Vec<ChunkChoice<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct ChunkChoice<'a> {
    index: u32,
    delta: Delta<'a>,
    finish_reason: Option<FinishReason>,
}

#[derive(Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
}

impl Usage {
    fn new(run: &Execution, progress: Progress) -> Self {
        let completion_tokens = u32::try_from(progress.generated).unwrap_or(u32::MAX);
        Self {
            prompt_tokens: run.prompt_tokens,
            completion_tokens,
            total_tokens: run.prompt_tokens.saturating_add(completion_tokens),
        }
    }
}

/// Returns the JSON of one token's event.
pub(super) fn token_chunk(run: &Execution, token: &str) -> String {
    choice_chunk(run, Some(token), None)
}

/// Returns the JSON of the event that says why the answer ended.
pub(super) fn finish_chunk(run: &Execution, progress: Progress) -> String {
    choice_chunk(run, None, Some(run.finish(progress)))
}

/// Returns the JSON of the event that says what the answer used.
pub(super) fn usage_chunk(run: &Execution, progress: Progress) -> String {
    json(&Chunk {
        id: &run.request_id,
        object: "chat.completion.chunk",
        model: &run.model,
        choices: Vec::new(),
        usage: Some(Usage::new(run, progress)),
    })
}

fn choice_chunk(run: &Execution, content: Option<&str>, finish: Option<FinishReason>) -> String {
    json(&Chunk {
        id: &run.request_id,
        object: "chat.completion.chunk",
        model: &run.model,
        choices: vec![ChunkChoice {
            index: 0,
            delta: Delta { content },
            finish_reason: finish,
        }],
        usage: None,
    })
}

fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

/// A whole answer.
#[derive(Serialize)]
pub(super) struct Whole<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: Vec<WholeChoice>,
    usage: Usage,
}

#[derive(Serialize)]
struct WholeChoice {
    index: u32,
    message: Message,
    finish_reason: FinishReason,
}

/// Returns the whole answer of an ended execution.
pub(super) fn whole(run: &Execution) -> Whole<'_> {
    let progress = run.progress();
    Whole {
        id: &run.request_id,
        object: "chat.completion",
        model: &run.model,
        choices: vec![WholeChoice {
            index: 0,
            message: Message {
                role: "assistant".into(),
                content: run.plan.tokens[..progress.generated].concat(),
            },
            finish_reason: run.finish(progress),
        }],
        usage: Usage::new(run, progress),
    }
}
