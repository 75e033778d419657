//! What a model engine is sent and answers.

use serde::{Deserialize, Serialize};

use crate::run_wire::{ChatMessage, EngineFields};

/// Body of `POST /v1/chat/completions`.
#[derive(Clone, Debug, Serialize)]
pub struct Completion<'a> {
    /// Model name.
    pub model: &'a str,
    /// Conversation.
    pub messages: &'a [ChatMessage],
    /// Largest number of output tokens.
    pub max_tokens: u32,
    /// Whether to stream; always true here.
    pub stream: bool,
    /// Fields as the caller sent them.
    #[serde(flatten)]
    pub other: &'a EngineFields,
}

/// Body of `POST /v1/resume`.
#[derive(Clone, Debug, Serialize)]
pub struct Resume<'a> {
    /// Identity of the request.
    pub request_id: &'a str,
    /// First chunk wanted.
    pub from: usize,
}

/// Body of `POST /v1/cancel`.
#[derive(Clone, Debug, Serialize)]
pub struct Cancel<'a> {
    /// Identity of the request.
    pub request_id: &'a str,
}

/// One streamed chunk.
#[derive(Clone, Debug, Deserialize)]
pub struct Chunk {
    /// Identity of the request it belongs to.
    #[serde(default)]
    pub id: String,
    /// At most one choice.
    #[serde(default)]
    pub choices: Vec<Choice>,
    /// Counted tokens, in the last chunk.
    #[serde(default)]
    pub usage: Option<Usage>,
}

/// A choice of a chunk.
#[derive(Clone, Debug, Deserialize)]
pub struct Choice {
    /// What is new.
    #[serde(default)]
    pub delta: Delta,
    /// Why it ended, in the last one.
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

/// Counted tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
    /// Both together.
    pub total_tokens: u64,
}
