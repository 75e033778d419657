//! Messages sent to a model engine, and its answers.

use serde::{Deserialize, Serialize};

use crate::run_wire::{ChatMessage, EngineFields};

/// Body of `POST /v1/chat/completions`.
#[derive(Clone, Debug, Serialize)]
pub struct Completion<'a> {
    /// Model name.
    pub model: &'a str,
    /// Messages of the conversation.
    pub messages: &'a [ChatMessage],
    /// Maximum number of output tokens.
    pub max_tokens: u32,
    /// Whether to stream the answer; always true.
    pub stream: bool,
    /// Fields that only the engine interprets, as the caller sent them.
    #[serde(flatten)]
    pub other: &'a EngineFields,
}

/// Body of `POST /v1/resume`.
#[derive(Clone, Debug, Serialize)]
pub struct Resume<'a> {
    /// Id of the request.
    pub request_id: &'a str,
    /// Index of the first chunk to send.
    pub from: usize,
}

/// Body of `POST /v1/cancel`.
#[derive(Clone, Debug, Serialize)]
pub struct Cancel<'a> {
    /// Id of the request.
    pub request_id: &'a str,
}

/// One chunk of a streamed answer.
#[derive(Clone, Debug, Deserialize)]
pub struct Chunk {
    /// Id of the request that the chunk belongs to.
    #[serde(default)]
    pub id: String,
    /// At most one choice.
    #[serde(default)]
    pub choices: Vec<Choice>,
    /// Token counts, in the last chunk.
    #[serde(default)]
    pub usage: Option<Usage>,
}

/// A choice of a chunk.
#[derive(Clone, Debug, Deserialize)]
pub struct Choice {
    /// New text.
    #[serde(default)]
    pub delta: Delta,
    /// Reason why the answer ended, in its last chunk.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// New text of a choice.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Delta {
    /// Text, if any.
    #[serde(default)]
    pub content: Option<String>,
}

/// Token counts of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of output tokens.
    pub completion_tokens: u64,
    /// Sum of both.
    pub total_tokens: u64,
}
