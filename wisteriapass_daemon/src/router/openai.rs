//! The chat/completions shape that model clients speak.

use serde::{Deserialize, Serialize};

use crate::run_wire::{ChatMessage, EngineFields, Finish};

/// Body of `POST /v1/chat/completions`; fields it does not know go to the engine as they are.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatRequest {
    /// Model name.
    pub model: String,
    /// Conversation.
    pub messages: Vec<ChatMessage>,
    /// Largest number of output tokens.
    #[serde(default, alias = "max_completion_tokens")]
    pub max_tokens: Option<u32>,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: bool,
    /// Number of answers; only one can be had.
    #[serde(default)]
    pub n: Option<u32>,
    /// Other fields.
    #[serde(flatten)]
    pub other: EngineFields,
}

/// One streamed chunk, or a whole answer.
#[derive(Clone, Debug, Serialize)]
pub struct ChatCompletion<'a> {
    /// Identity of the request.
    pub id: &'a str,
    /// What this is.
    pub object: &'static str,
    /// Model name.
    pub model: &'a str,
    /// The one choice, or none beside the usage.
    pub choices: Vec<Choice<'a>>,
    /// What was billed, at the end.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// The choice of an answer.
#[derive(Clone, Debug, Serialize)]
pub struct Choice<'a> {
    /// Always 0.
    pub index: u32,
    /// New text, in a chunk.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delta: Option<Message<'a>>,
    /// All text, in a whole answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub message: Option<Message<'a>>,
    /// Why it ended, if it did.
    pub finish_reason: Option<&'static str>,
}

/// Text of an answer.
#[derive(Clone, Debug, Serialize)]
pub struct Message<'a> {
    /// Who speaks.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<&'static str>,
    /// What is said.
    pub content: &'a str,
}

/// Tokens of an answer, and what was billed.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
    /// Both together.
    pub total_tokens: u64,
    /// Tokens taken from the budget.
    pub billed_tokens: u64,
}

/// Returns how the shape names the end of a run.
pub fn finish_reason(finish: Finish) -> &'static str {
    match finish {
        Finish::Stop => "stop",
        Finish::Length => "length",
        Finish::Failed | Finish::Cancelled => "error",
    }
}
