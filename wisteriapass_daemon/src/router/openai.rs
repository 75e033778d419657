//! Messages of the OpenAI chat completions API.

use serde::{Deserialize, Serialize};

use crate::run_wire::{ChatMessage, EngineFields, Finish};

/// Body of `POST /v1/chat/completions`; unknown fields are passed to the engine unchanged.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatRequest {
    /// Model name.
    pub model: String,
    /// Messages of the conversation.
    pub messages: Vec<ChatMessage>,
    /// Maximum number of output tokens.
    #[serde(default, alias = "max_completion_tokens")]
    pub max_tokens: Option<u32>,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: bool,
    /// Number of choices; only one is supported.
    #[serde(default)]
    pub n: Option<u32>,
    /// Fields that only the engine interprets.
    #[serde(flatten)]
    pub other: EngineFields,
}

/// A chunk of a streamed answer, or a complete answer.
#[derive(Clone, Debug, Serialize)]
pub struct ChatCompletion<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// Object type, as defined by the API.
    pub object: &'static str,
    /// Model name.
    pub model: &'a str,
    /// The only choice; empty in the chunk with the usage.
    pub choices: Vec<Choice<'a>>,
    /// Token usage, sent with the end of the answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// Choice of an answer.
#[derive(Clone, Debug, Serialize)]
pub struct Choice<'a> {
    /// Always 0.
    pub index: u32,
    /// New text of a chunk.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delta: Option<Message<'a>>,
    /// Text of a complete answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub message: Option<Message<'a>>,
    /// Reason for the end of the answer; none before its last chunk.
    pub finish_reason: Option<&'static str>,
}

/// Message of a choice.
#[derive(Clone, Debug, Serialize)]
pub struct Message<'a> {
    /// Role of the author.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<&'static str>,
    /// Text of the message.
    pub content: &'a str,
}

/// Token usage of an answer, and the billed tokens.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Usage {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of output tokens.
    pub completion_tokens: u64,
    /// Sum of prompt and output tokens.
    pub total_tokens: u64,
    /// Number of tokens charged to the budget.
    pub billed_tokens: u64,
}

/// Returns the API's finish reason for the end of a run.
pub fn finish_reason(finish: Finish) -> &'static str {
    match finish {
        Finish::Stop => "stop",
        Finish::Length => "length",
        Finish::Failed | Finish::Cancelled => "error",
    }
}
