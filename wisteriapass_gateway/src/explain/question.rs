//! A question in the form in which requests are routed.

use hyper::header::{HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request};
use smallvec::SmallVec;

use super::saved_head::read_head;
use super::{ExplainCall, ExplainError};
use crate::catalogue::Limits;
use crate::listener::header_buffer_bytes;
use crate::metadata::{PrefixPart, TokenWork};
use crate::prelude::*;

/// Highest number of tokens in a question: far beyond any prompt, and sums cannot overflow.
const MAX_TOKENS: u64 = 1 << 40;

/// A question in the form in which requests are routed.
pub(crate) struct Question {
    /// Head of the request.
    pub parts: Parts,
    /// What the platform reads from it.
    pub metadata: RequestMetadata,
}

impl Question {
    /// Reads a question.
    ///
    /// # Errors
    ///
    /// [`ExplainError::Malformed`].
    pub async fn read(
        gw: &Gateway,
        call: &ExplainCall,
        limits: &Limits,
    ) -> Result<Self, ExplainError> {
        if call.account.is_some() && call.key.is_some() {
            return Err(malformed("give an account or a key, not both"));
        }
        let Some(head) = &call.head else {
            return Self::from_fields(call);
        };
        if call.has_request_fields() {
            return Err(malformed(
                "give a saved request or its host, path and other fields, not both",
            ));
        }
        let parts = read_head(head, header_buffer_bytes(limits)).await?;
        let metadata = gw.platform.request_metadata(&parts.headers);
        Ok(Self { parts, metadata })
    }

    fn from_fields(call: &ExplainCall) -> Result<Self, ExplainError> {
        let (Some(host), Some(path)) = (&call.host, &call.path) else {
            return Err(malformed("give host and path, or a saved request"));
        };
        let host = HeaderValue::from_str(host).map_err(|e| malformed(&format!("host: {e}")))?;
        let request = Request::builder().method(Method::POST).uri(path.as_str());
        let request = request.header(HOST, host).body(());
        let request = request.map_err(|e| malformed(&format!("path: {e}")))?;
        let metadata = RequestMetadata {
            remaining_ms: call.remaining_ms,
            key: call.key.clone(),
            work: work(call)?,
            prefix: prefix(call)?,
            ..RequestMetadata::default()
        };
        let (parts, ()) = request.into_parts();
        Ok(Self { parts, metadata })
    }
}

fn work(call: &ExplainCall) -> Result<Option<TokenWork>, ExplainError> {
    match (call.prompt_tokens, call.max_output_tokens) {
        (None, None) if call.prompt_parts.is_empty() => Ok(None),
        (Some(prompt), Some(max_output)) if prompt.max(max_output) <= MAX_TOKENS => {
            Ok(Some(TokenWork { prompt, max_output }))
        }
        (Some(_), Some(_)) => Err(malformed("the token counts are out of range")),
        _ => Err(malformed(
            "give both prompt_tokens and max_output_tokens, also with prompt_parts",
        )),
    }
}

fn prefix(call: &ExplainCall) -> Result<SmallVec<[PrefixPart; 4]>, ExplainError> {
    let parts = call.prompt_parts.iter().map(|part| {
        let id = u64::from_str_radix(&part.id, 16);
        let id = id.map_err(|e| malformed(&format!("prompt part {:?}: {e}", part.id)))?;
        let tokens = part.tokens;
        Ok(PrefixPart { id, tokens })
    });
    let parts: SmallVec<[PrefixPart; 4]> = parts.collect::<Result<_, ExplainError>>()?;
    let sum = parts
        .iter()
        .try_fold(0_u64, |sum, part| sum.checked_add(part.tokens));
    match (sum, call.prompt_tokens) {
        (Some(sum), Some(prompt)) if sum > prompt => Err(malformed(
            "the prompt parts have more tokens than the prompt",
        )),
        (None, _) => Err(malformed("the token counts are out of range")),
        (Some(_), _) => Ok(parts),
    }
}

fn malformed(cause: &str) -> ExplainError {
    ExplainError::Malformed {
        cause: cause.to_owned(),
    }
}
