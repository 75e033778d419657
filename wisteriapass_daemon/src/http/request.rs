//! One request of a caller, answered by the thread that holds it.

use std::convert::Infallible;

use bytes::Bytes;
use flume::Receiver;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Response, StatusCode};
use tokio::sync::oneshot;

use crate::http::stream_writer::BodyTruncated;

/// Body of an answer, whole or in pieces.
pub(super) type AnswerBody = UnsyncBoxBody<Bytes, BodyTruncated>;

/// An answer on its way to the connection.
pub(super) type Reply = Response<AnswerBody>;

/// A piece of a request's body, or that it broke off.
pub(super) type BodyPiece = Result<Bytes, BodyTruncated>;

/// One request; dropped without an answer, its connection is closed.
pub struct Request {
    head: Box<Parts>,
    body: Receiver<BodyPiece>,
    reply: oneshot::Sender<Reply>,
}

impl Request {
    /// Creates a request whose body still comes.
    pub(super) fn new(
        head: Parts,
        body: Receiver<BodyPiece>,
        reply: oneshot::Sender<Reply>,
    ) -> Self {
        Self {
            head: Box::new(head),
            body,
            reply,
        }
    }

    /// Returns the method.
    pub fn method(&self) -> &Method {
        &self.head.method
    }

    /// Returns path and query.
    pub fn url(&self) -> &str {
        let uri = &self.head.uri;
        uri.path_and_query().map_or("/", |url| url.as_str())
    }

    /// Returns all headers.
    pub fn headers(&self) -> &HeaderMap {
        &self.head.headers
    }

    /// Returns the value of a header, the name in any case; `None` also if it is not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// Returns the pieces of the body.
    pub(super) fn body(&self) -> &Receiver<BodyPiece> {
        &self.body
    }

    /// Answers with text.
    pub fn respond_text(self, status: u16, text: impl Into<Bytes>) {
        self.respond(status, &[], text);
    }

    /// Answers with a whole body; a caller that went away needs none.
    pub fn respond(self, status: u16, headers: &[(&str, &str)], body: impl Into<Bytes>) {
        let whole = Full::new(body.into()).map_err(|e: Infallible| match e {});
        let _ = self.reply(status, headers, whole.boxed_unsync());
    }

    /// Answers with a body; returns whether the caller is still there.
    pub(super) fn reply(self, status: u16, headers: &[(&str, &str)], body: AnswerBody) -> bool {
        let mut reply = Response::new(body);
        *reply.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        for (name, value) in headers {
            put(reply.headers_mut(), name, value);
        }
        self.reply.send(reply).is_ok()
    }
}

/// Adds a header; one that cannot be sent is left out and said in the log.
fn put(headers: &mut HeaderMap, name: &str, value: &str) {
    let name = HeaderName::from_bytes(name.as_bytes());
    match (name, HeaderValue::from_bytes(value.as_bytes())) {
        // An answer has one type.
        (Ok(name), Ok(value)) if name == CONTENT_TYPE => {
            headers.insert(name, value);
        }
        (Ok(name), Ok(value)) => {
            headers.append(name, value);
        }
        (name, _) => log::warn!(target: "http", "Header left out. name={name:?}"),
    }
}
