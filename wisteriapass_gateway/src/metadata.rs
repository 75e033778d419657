//! What is known of a request, a dispatch and an answer.

use hyper::header::HeaderValue;
use smallvec::SmallVec;
use wisteriapass_policy::placement::Prompt;

use crate::target::TargetId;

/// Tokens that a request asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenWork {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Most tokens of the output.
    pub max_output: u64,
}

impl TokenWork {
    /// Returns the most that it can cost, in tokens.
    pub fn max_total(self) -> u64 {
        self.prompt.saturating_add(self.max_output)
    }
}

/// One part of a prompt, which other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixPart {
    /// Identifies the part's text.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// What a caller says of its request.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// Id of the caller's attempt, as sent.
    pub id: Option<HeaderValue>,
    /// Time that the caller will wait, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// Account key.
    pub key: Option<String>,
    /// Tokens, for model requests.
    pub work: Option<TokenWork>,
    /// Parts of the prompt in order; the last belongs to the request or its session.
    pub prefix: SmallVec<[PrefixPart; 4]>,
    /// Last event that the caller has, if it resumes a stream.
    pub last_event: Option<u64>,
}

impl RequestMetadata {
    /// Returns the id for logs.
    pub fn id_text(&self) -> &str {
        let id = self.id.as_ref();
        id.and_then(|id| id.to_str().ok()).unwrap_or("-")
    }

    /// Returns the prompt, as far as it decides about a place.
    pub fn prompt(&self) -> Prompt {
        let deepest = self.prefix.len().checked_sub(2);
        let shared = &self.prefix[..deepest.map_or(0, |at| at + 1)];
        Prompt {
            shared_prefix: shared.last().map(|part| part.id),
            shared_tokens: shared.iter().map(|part| part.tokens).sum(),
            tokens: self.work.map_or(0, |w| w.prompt),
        }
    }
}

/// What a dispatch adds to a request.
#[derive(Clone, Copy, Debug)]
pub struct DispatchMetadata<'a> {
    /// Time left, in milliseconds.
    pub remaining_ms: u64,
    /// The target that is meant; any other refuses.
    pub target: &'a TargetId,
    /// Client account, if the route asks for one.
    pub account: Option<&'a str>,
    /// Rank, 0 first.
    pub priority: u8,
    /// Last event that the caller has of a stream that goes on at another target.
    pub last_event: Option<u64>,
}

/// What a target says of its answer.
#[derive(Clone, Debug, Default)]
pub struct ResponseMetadata {
    /// Id of the request that it answers.
    pub id: Option<HeaderValue>,
    /// Whether the target signed it.
    pub is_signed: bool,
    /// Whether the target says that it did not run the request.
    pub not_run: bool,
    /// Time for which the target keeps an idle connection, in seconds.
    pub keep_alive_s: Option<u64>,
    /// Whether the target closes the connection behind this answer.
    pub closes_connection: bool,
    /// Whether the body is a stream of events.
    pub is_event_stream: bool,
    /// Whether the body's end can be told from the connection's.
    pub is_framed: bool,
    /// Whether the body is encoded, which nobody asked for.
    pub is_encoded: bool,
    /// Time for which the target stays cold, in milliseconds, if it says so.
    pub cold_ms: Option<u64>,
}
