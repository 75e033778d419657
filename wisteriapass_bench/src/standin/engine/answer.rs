//! The answer to a request, which depends only on the model, the prompt and the token limit.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::digest::hex;

/// Smallest number of tokens of an answer whose prompt does not specify a length.
const MIN_TOKENS: u32 = 8;

/// Number of different lengths of answers whose prompt does not specify a length.
const LENGTH_COUNT: u32 = 57;

/// Key in a prompt that specifies the number of tokens of its answer, as in `tokens=40`.
const LENGTH_KEY: &str = "tokens=";

/// Number of prompt bytes that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Why an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FinishReason {
    /// The answer was complete.
    Stop,
    /// The answer reached the request's token limit.
    Length,
    /// The request was cancelled.
    Cancelled,
}

/// The complete answer that a request gets unless it is cancelled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedAnswer {
    /// Tokens of the answer, in order.
    pub tokens: Vec<String>,
    /// Why the answer ends.
    pub finish_reason: FinishReason,
}

impl PlannedAnswer {
    /// Computes the answer to `prompt`, the content of the last message.
    pub fn new(model: &str, prompt: &str, max_tokens: u32) -> Self {
        let digest = digest(model, prompt);
        let full_length = requested_length(prompt).unwrap_or_else(|| derived_length(&digest));
        let length = full_length.min(max_tokens);
        let digest_prefix = hex(&digest[..4]);
        Self {
            tokens: (0..length)
                .map(|n| format!("{digest_prefix}.{n} "))
                .collect(),
            finish_reason: if full_length > max_tokens {
                FinishReason::Length
            } else {
                FinishReason::Stop
            },
        }
    }
}

/// Returns the tokens of the answer to `prompt`, the content of the last message.
///
/// Each token contains the start of the digest of model and prompt.
pub fn expected_answer(model: &str, prompt: &str, max_tokens: u32) -> Vec<String> {
    PlannedAnswer::new(model, prompt, max_tokens).tokens
}

/// Returns the number of tokens in a prompt of this many bytes.
pub fn prompt_tokens(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

fn digest(model: &str, prompt: &str) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(model);
    hasher.update([0]);
    hasher.update(prompt);
    hasher.finalize().into()
}

fn derived_length(digest: &[u8; 32]) -> u32 {
    let [.., a, b] = *digest;
    MIN_TOKENS + u32::from(u16::from_be_bytes([a, b])) % LENGTH_COUNT
}

fn requested_length(prompt: &str) -> Option<u32> {
    let (_, rest) = prompt.split_once(LENGTH_KEY)?;
    let end = rest
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(rest.len());
    rest[..end].parse().ok()
}
