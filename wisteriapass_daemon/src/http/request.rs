//! An HTTP request of a caller, answered by the thread that owns it.

use bytes::Bytes;
use flume::Receiver;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Response, StatusCode};
use tokio::sync::oneshot;

use crate::http::stream_writer::{BodyTruncated, whole_body};

/// Body of an answer, complete or streamed.
pub(super) type AnswerBody = UnsyncBoxBody<Bytes, BodyTruncated>;

/// An answer that is passed to the connection.
pub(super) type Reply = Response<AnswerBody>;

/// Next part of a request body.
pub(super) enum BodyChunk {
    /// Data of the body.
    Data(Bytes),
    /// End of a complete body; without it the body is truncated.
    End,
}

/// An HTTP request; its connection is closed if it is dropped without an answer.
pub struct Request {
    head: Box<Parts>,
    body: Receiver<BodyChunk>,
    reply: oneshot::Sender<Reply>,
}

impl Request {
    /// Creates a request whose body is still being received.
    pub(super) fn new(
        head: Parts,
        body: Receiver<BodyChunk>,
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

    /// Returns the path with the query.
    pub fn url(&self) -> &str {
        let uri = &self.head.uri;
        uri.path_and_query().map_or("/", |url| url.as_str())
    }

    /// Returns all headers.
    pub fn headers(&self) -> &HeaderMap {
        &self.head.headers
    }

    /// Returns the value of a header by its case-insensitive name; `None` if the header is missing
    /// or not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// Returns the receiver for the chunks of the body.
    pub(super) fn body(&self) -> &Receiver<BodyChunk> {
        &self.body
    }

    /// Answers with text.
    pub fn respond_text(self, status: u16, text: impl Into<Bytes>) {
        self.respond(status, &[], text);
    }

    /// Answers with a complete body; the answer is dropped if the caller has disconnected.
    pub fn respond(self, status: u16, headers: &[(&str, &str)], body: impl Into<Bytes>) {
        let _ = self.reply(status, headers, whole_body(body));
    }

    /// Answers with a body; returns `false` if the caller has disconnected.
    pub(super) fn reply(self, status: u16, headers: &[(&str, &str)], body: AnswerBody) -> bool {
        let mut reply = Response::new(body);
        *reply.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        for (name, value) in headers {
            add_header(reply.headers_mut(), name, value);
        }
        self.reply.send(reply).is_ok()
    }
}

/// Adds a header; an invalid header is left out and logged.
fn add_header(headers: &mut HeaderMap, name: &str, value: &str) {
    let name = HeaderName::from_bytes(name.as_bytes());
    match (name, HeaderValue::from_bytes(value.as_bytes())) {
        // An answer has only one content type.
        (Ok(name), Ok(value)) if name == CONTENT_TYPE => {
            headers.insert(name, value);
        }
        (Ok(name), Ok(value)) => {
            headers.append(name, value);
        }
        (name, _) => log::warn!(target: "http", "Invalid header left out. name={name:?}"),
    }
}
