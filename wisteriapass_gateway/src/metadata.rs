//! Metadata of requests, dispatches and responses, decoded from or encoded into headers.

use hyper::header::HeaderValue;
use smallvec::SmallVec;
use wisteriapass_policy::placement::Prompt;

use crate::target::TargetId;

/// Tokens that a request asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenWork {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Maximum number of output tokens.
    pub max_output: u64,
}

impl TokenWork {
    /// Returns the maximum cost, in tokens.
    pub fn max_total(self) -> u64 {
        self.prompt.saturating_add(self.max_output)
    }
}

/// A part of a prompt, which other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixPart {
    /// Hash that identifies the part's text.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// Metadata of a client's request.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// Id of the client's attempt, as sent.
    pub id: Option<HeaderValue>,
    /// Time that the client will wait, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// API key of the account.
    pub key: Option<String>,
    /// Tokens, for model requests.
    pub work: Option<TokenWork>,
    /// Parts of the prompt in order; the last one is specific to the request or its session.
    pub prefix: SmallVec<[PrefixPart; 4]>,
    /// Id of the last event that the client has, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Id of the client's attempt that brought the first event, if it resumes a stream.
    pub resumes: Option<HeaderValue>,
}

impl RequestMetadata {
    /// Returns whether the client resumes a stream that an earlier attempt began.
    pub fn is_resumption(&self) -> bool {
        self.resumes.is_some() || self.last_event.is_some()
    }

    /// Returns the id of the attempt that began the stream, for logs.
    pub fn resumes_text(&self) -> &str {
        let id = self.resumes.as_ref();
        id.and_then(|id| id.to_str().ok()).unwrap_or("-")
    }

    /// Returns the id for logs.
    pub fn id_text(&self) -> &str {
        let id = self.id.as_ref();
        id.and_then(|id| id.to_str().ok()).unwrap_or("-")
    }

    /// Returns the parts of the prompt that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[PrefixPart] {
        self.prefix.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the ids of the shared parts for logs.
    pub fn shared_parts_text(&self) -> String {
        let ids = self
            .shared_parts()
            .iter()
            .map(|part| format!("{:x}", part.id));
        let ids: SmallVec<[String; 4]> = ids.collect();
        if ids.is_empty() {
            return "-".into();
        }
        ids.join(",")
    }

    /// Returns the prompt as target selection sees it.
    pub fn prompt(&self) -> Prompt {
        let shared = self.shared_parts();
        Prompt {
            shared_prefix: shared.last().map(|part| part.id),
            shared_tokens: shared.iter().map(|part| part.tokens).sum(),
            tokens: self.work.map_or(0, |w| w.prompt),
            goal: None,
        }
    }
}

/// Metadata that is added to a request when it is sent to a target.
#[derive(Clone, Copy, Debug)]
pub struct DispatchMetadata<'a> {
    /// Remaining time, in milliseconds.
    pub remaining_ms: u64,
    /// Intended target; any other target refuses the request.
    pub target: &'a TargetId,
    /// Client account, if the route requires one.
    pub account: Option<&'a str>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Id of the last event that the client has, for a stream that is resumed at another target.
    pub last_event: Option<u64>,
}

/// Metadata of a target's response.
#[derive(Clone, Debug, Default)]
pub struct ResponseMetadata {
    /// Id of the request that is answered.
    pub id: Option<HeaderValue>,
    /// Whether the target signed the response.
    pub is_signed: bool,
    /// Whether the target states that it did not run the request.
    pub not_run: bool,
    /// Time for which the target keeps an idle connection open, in seconds.
    pub keep_alive_s: Option<u64>,
    /// Whether the target closes the connection after this response.
    pub closes_connection: bool,
    /// Whether the body is a stream of events.
    pub is_event_stream: bool,
    /// Whether the body has a content encoding, which was not requested.
    pub is_encoded: bool,
    /// What the target states about itself.
    pub statements: TargetStatements,
}

/// What a target states about itself in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetStatements {
    /// Time for which it stays cold, in milliseconds, if it states one.
    pub cold_ms: Option<u64>,
    /// Requests per second that it takes from all routers together, if it names a limit.
    pub limit_per_s: Option<f64>,
    /// Whether it leaves: it wants no new requests and is about to stop.
    pub is_leaving: bool,
    /// Time after which it wants the next request, in milliseconds, if it states one.
    pub retry_after_ms: Option<u64>,
}
