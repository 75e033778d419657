//! Reading a request's body within a size and a deadline.

use std::time::Instant;

use derive_more::{Display, Error};
use flume::RecvTimeoutError;
use hyper::header::CONTENT_LENGTH;

use super::Request;

/// Why a body was not read.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than allowed.
    #[display("the body is larger than {limit} bytes; send a smaller one")]
    TooLarge {
        /// Largest size, in bytes.
        limit: usize,
    },
    /// It did not arrive before the deadline.
    #[display("the body did not arrive in time; send it faster")]
    TimedOut,
    /// It ended before its stated length, or the connection broke.
    #[display("the body is not whole; send all of it")]
    Truncated,
}

/// Reads the whole body.
///
/// # Errors
///
/// [`BodyError`] if it is too large, late or cut short.
pub fn read_body(req: &Request, limit: usize, deadline: Instant) -> Result<Vec<u8>, BodyError> {
    let stated = stated_length(req);
    if stated.is_some_and(|n| n > limit) {
        return Err(BodyError::TooLarge { limit });
    }
    let mut body = Vec::with_capacity(stated.unwrap_or(0));
    loop {
        match req.body().recv_deadline(deadline) {
            Ok(Ok(piece)) => body.extend_from_slice(&piece),
            Ok(Err(_)) => return Err(BodyError::Truncated),
            Err(RecvTimeoutError::Timeout) => return Err(BodyError::TimedOut),
            Err(RecvTimeoutError::Disconnected) => return Ok(body),
        }
        if body.len() > limit {
            return Err(BodyError::TooLarge { limit });
        }
    }
}

/// Returns the length that the head states.
fn stated_length(req: &Request) -> Option<usize> {
    req.header(CONTENT_LENGTH.as_str())?.parse().ok()
}
