//! Requests and answers of a simulated engine.

use serde::{Deserialize, Serialize};

use super::answer::{FinishReason, prompt_tokens};
use super::execution::{Execution, Progress};

/// Token limit of a request that does not specify one.
const DEFAULT_MAX_TOKENS: u32 = 512;

/// A message of a chat.
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

    /// Returns the number of tokens in all messages.
    pub fn prompt_tokens(&self) -> u32 {
        prompt_tokens(self.messages.iter().map(|m| m.content.len()).sum())
    }

    /// Returns the maximum number of tokens of the answer.
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

/// Answer to `POST /v1/cancel`.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct Cancelled {
    /// Whether this call cancelled the request.
    pub cancelled: bool,
    /// Whether the request had started running.
    pub ran: bool,
}

/// Answer to `GET /load`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Time of the report, in milliseconds since the Unix epoch.
    pub taken_at_ms: u64,
    /// Number of running requests.
    pub running: usize,
    /// Number of queued requests.
    pub queued: usize,
    /// Number of free slots.
    pub free_slots: usize,
}

/// An event of a streamed answer.
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

/// Returns the JSON of the event that carries one token.
pub(super) fn token_chunk(run: &Execution, token: &str) -> String {
    choice_chunk(run, Some(token), None)
}

/// Returns the JSON of the event that carries the finish reason.
pub(super) fn finish_chunk(run: &Execution, progress: Progress) -> String {
    choice_chunk(run, None, Some(run.finish_reason(progress)))
}

/// Returns the JSON of the event that carries the token usage.
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

/// An answer that is not streamed.
#[derive(Serialize)]
pub(super) struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: Vec<CompletionChoice>,
    usage: Usage,
}

#[derive(Serialize)]
struct CompletionChoice {
    index: u32,
    message: Message,
    finish_reason: FinishReason,
}

/// Returns the complete answer of a finished execution.
pub(super) fn completion(run: &Execution) -> Completion<'_> {
    let progress = run.progress();
    Completion {
        id: &run.request_id,
        object: "chat.completion",
        model: &run.model,
        choices: vec![CompletionChoice {
            index: 0,
            message: Message {
                role: "assistant".into(),
                content: run.plan.tokens[..progress.generated].concat(),
            },
            finish_reason: run.finish_reason(progress),
        }],
        usage: Usage::new(run, progress),
    }
}
