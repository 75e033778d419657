//! The answer of a request: a function of model, prompt and limit alone.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::digest::hex;

/// Fewest tokens of an answer whose prompt names no number.
const FEWEST_TOKENS: u32 = 8;

/// How many lengths answers have whose prompt names no number.
const LENGTHS: u32 = 57;

/// Marker in a prompt that names the number of tokens, as in `tokens=40`.
const TOKENS_MARKER: &str = "tokens=";

/// Bytes of a prompt that make one token.
const BYTES_PER_TOKEN: usize = 4;

/// Why an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FinishReason {
    /// The answer was complete.
    Stop,
    /// The request's limit cut it.
    Length,
    /// The request was cancelled.
    Cancelled,
}

/// An answer as it will be given if nothing cancels it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedAnswer {
    /// Its tokens, in order.
    pub tokens: Vec<String>,
    /// Why it ends.
    pub finish: FinishReason,
}

impl PlannedAnswer {
    /// Plans the answer to the last message's content, of at most `max_tokens` tokens.
    pub fn new(model: &str, prompt: &str, max_tokens: u32) -> Self {
        let digest = digest(model, prompt);
        let wanted = named_length(prompt).unwrap_or_else(|| derived_length(&digest));
        let length = wanted.min(max_tokens);
        let mark = hex(&digest[..4]);
        Self {
            tokens: (0..length).map(|n| format!("{mark}.{n} ")).collect(),
            finish: if wanted > max_tokens {
                FinishReason::Length
            } else {
                FinishReason::Stop
            },
        }
    }
}

/// Returns the tokens of the answer to the last message's content; each carries its digest.
pub fn expected_answer(model: &str, prompt: &str, max_tokens: u32) -> Vec<String> {
    PlannedAnswer::new(model, prompt, max_tokens).tokens
}

/// Returns the tokens that a prompt of this many bytes makes.
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
    FEWEST_TOKENS + u32::from(u16::from_be_bytes([a, b])) % LENGTHS
}

fn named_length(prompt: &str) -> Option<u32> {
    let (_, rest) = prompt.split_once(TOKENS_MARKER)?;
    let end = rest
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(rest.len());
    rest[..end].parse().ok()
}
