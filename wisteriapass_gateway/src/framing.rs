//! How the end of a response's body is marked.

use derive_more::Display;
use hyper::HeaderMap;
use hyper::body::{Body, Incoming};
use hyper::header::TRANSFER_ENCODING;

/// What marks the end of a response's body (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Framing {
    /// Its length or its last chunk. A body that ends early is an error of the connection.
    #[display("explicit")]
    Explicit,
    /// The end of the connection. A target that crashes ends its connections in the same way.
    #[display("connection_end")]
    ConnectionEnd,
}

impl Framing {
    /// Returns the framing of a body of which nothing has been read.
    pub fn of(headers: &HeaderMap, body: &Incoming) -> Self {
        if body.size_hint().exact().is_some() || is_chunked(headers) {
            return Self::Explicit;
        }
        Self::ConnectionEnd
    }
}

/// Returns whether the last transfer coding is `chunked`; no other one marks the end.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let codings = last.and_then(|value| value.to_str().ok());
    let coding = codings.and_then(|codings| codings.rsplit(',').next());
    coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
