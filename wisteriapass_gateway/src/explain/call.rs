//! The question where a request would go.

use serde::{Deserialize, Serialize};

/// A part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PromptPart {
    /// Id of the part's text, in hexadecimal.
    pub id: String,
    /// Length, in tokens.
    pub tokens: u64,
}

/// The question where a request would go: either its host, path and what else is known of it, or the
/// saved head of a request.
///
/// Unknown fields are refused: an answer that ignored them would be that to another question.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ExplainCall {
    /// Host.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Path, with its query if it has one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub path: Option<String>,
    /// Name of the account, in place of a key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub account: Option<String>,
    /// API key of the account.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Parts of the prompt in order; the last one is specific to the request.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub prompt_parts: Vec<PromptPart>,
    /// Tokens of the prompt.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prompt_tokens: Option<u64>,
    /// Maximum number of output tokens.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_output_tokens: Option<u64>,
    /// Time that the caller will wait, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub remaining_ms: Option<u64>,
    /// Request line and headers of a saved request, in place of all other fields but the account.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub head: Option<String>,
}

impl ExplainCall {
    /// Returns whether a field is given that a saved request has itself.
    pub(super) fn has_request_fields(&self) -> bool {
        let has_text = self.host.is_some() || self.path.is_some() || self.key.is_some();
        let counts = [
            self.prompt_tokens,
            self.max_output_tokens,
            self.remaining_ms,
        ];
        has_text || !self.prompt_parts.is_empty() || counts.iter().any(Option::is_some)
    }
}
