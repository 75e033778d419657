//! Reading of request bodies, limited by size and deadline.

use std::time::Instant;

use derive_more::{Display, Error};
use flume::RecvTimeoutError;
use hyper::header::CONTENT_LENGTH;

use super::Request;
use super::request::BodyChunk;

/// Reason why a body was not read.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than allowed.
    #[display("the body is larger than {limit} bytes; send a smaller one")]
    TooLarge {
        /// Maximum size, in bytes.
        limit: usize,
    },
    /// The body did not arrive before the deadline.
    #[display("the body did not arrive in time; send it faster")]
    TimedOut,
    /// The body ended before its declared length, or the connection broke.
    #[display("the body is incomplete; send all of it")]
    Truncated,
}

/// Reads the complete body.
///
/// # Errors
///
/// [`BodyError`] if the body is too large, too late or truncated.
pub fn read_body(req: &Request, limit: usize, deadline: Instant) -> Result<Vec<u8>, BodyError> {
    let declared = declared_length(req);
    if declared.is_some_and(|n| n > limit) {
        return Err(BodyError::TooLarge { limit });
    }
    let mut body = Vec::with_capacity(declared.unwrap_or(0));
    loop {
        match req.body().recv_deadline(deadline) {
            Ok(BodyChunk::Data(data)) => body.extend_from_slice(&data),
            Ok(BodyChunk::End) => return Ok(body),
            Err(RecvTimeoutError::Timeout) => return Err(BodyError::TimedOut),
            Err(RecvTimeoutError::Disconnected) => return Err(BodyError::Truncated),
        }
        if body.len() > limit {
            return Err(BodyError::TooLarge { limit });
        }
    }
}

/// Returns the length declared in the `Content-Length` header.
fn declared_length(req: &Request) -> Option<usize> {
    req.header(CONTENT_LENGTH.as_str())?.parse().ok()
}
