//! Reading a request's body within a size and a deadline.

use std::time::Instant;

use derive_more::{Display, Error};
use tiny_http::Request;

/// Bytes read at once.
const PIECE: usize = 16 * 1024;

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
    Late,
    /// It ended before its stated length, or the connection broke.
    #[display("the body is not whole; send all of it")]
    Cut,
}

/// Reads the whole body.
///
/// The deadline is looked at between two reads: tiny_http gives no access to the socket, so a
/// sender that sends nothing at all holds its thread until the connection dies.
///
/// # Errors
///
/// [`BodyError`] if it is too large, late or cut short.
pub fn read_body(req: &mut Request, limit: usize, deadline: Instant) -> Result<Vec<u8>, BodyError> {
    let stated = req.body_length();
    if stated.is_some_and(|n| n > limit) {
        return Err(BodyError::TooLarge { limit });
    }
    let mut body = Vec::with_capacity(stated.unwrap_or(0));
    let mut piece = [0; PIECE];
    let reader = req.as_reader();
    loop {
        let n = reader.read(&mut piece).map_err(|_| BodyError::Cut)?;
        if n == 0 {
            break;
        }
        body.extend_from_slice(&piece[..n]);
        if body.len() > limit {
            return Err(BodyError::TooLarge { limit });
        }
        if Instant::now() > deadline {
            return Err(BodyError::Late);
        }
    }
    if stated.is_some_and(|n| n != body.len()) {
        return Err(BodyError::Cut);
    }
    Ok(body)
}
