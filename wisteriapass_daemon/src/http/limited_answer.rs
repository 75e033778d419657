//! Answers that are read whole with minreq, up to a maximum size.

use std::io::Read;

/// A whole answer.
#[derive(Clone, Debug)]
pub struct LimitedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
}

/// Sends a request and reads its answer. An answer that never ends would otherwise be read until the
/// timeout, as fast as it is sent.
///
/// # Errors
///
/// The error of the transport, or that the body is larger than `max_bytes` bytes.
pub fn send_limited(req: minreq::Request, max_bytes: u64) -> Result<LimitedAnswer, minreq::Error> {
    let answer = req.send_lazy()?;
    let status = answer.status_code;
    let mut body = Vec::new();
    answer.take(max_bytes + 1).read_to_end(&mut body)?;
    if body.len() as u64 > max_bytes {
        return Err(std::io::Error::other("the answer is too large").into());
    }
    Ok(LimitedAnswer { status, body })
}
