//! Writing of answers, including streamed answers without buffering.

use std::convert::Infallible;
use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use flume::{Receiver, Sender};
use futures_util::stream;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};

use super::Request;
use super::request::{AnswerBody, Reply};
use crate::api::Refusal;

/// Number of chunks that may be queued for the connection.
const QUEUED_CHUNKS: usize = 16;

/// Longest time for which a chunk waits for a caller that does not read, in seconds.
const SEND_TIMEOUT_S: u64 = 10;

/// Maximum size of a streamed answer to a caller that cannot read chunks, in bytes.
const MAX_COLLECTED_BYTES: usize = 4 << 20;

/// A body ended before it was complete.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the body was truncated")]
pub struct BodyTruncated;

/// Next part of a streamed answer.
enum Chunk {
    /// Data of the body.
    Data(Bytes),
    /// End of a complete answer; without it the answer is truncated.
    End,
}

/// Answers a request with a JSON body.
pub fn respond_json(req: Request, status: u16, body: String, extra_headers: &[(&str, String)]) {
    let mut headers = vec![("content-type", "application/json")];
    headers.extend(
        extra_headers
            .iter()
            .map(|(name, value)| (*name, value.as_str())),
    );
    req.respond(status, &headers, body);
}

/// Answers a request with a JSON body and closes the connection, so that the caller's next request
/// goes to another router.
pub fn respond_and_close(
    req: Request,
    status: u16,
    body: String,
    extra_headers: &[(&str, String)],
) {
    let mut headers = extra_headers.to_vec();
    headers.push(("connection", "close".to_owned()));
    respond_json(req, status, body, &headers);
}

/// Writes an answer whose chunks are sent immediately; if it is dropped before
/// [`finish`](Self::finish), the answer is truncated.
pub struct StreamWriter {
    chunks: Sender<Chunk>,
}

impl StreamWriter {
    /// Starts a streamed answer by sending its head.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::BrokenPipe`] if the caller has disconnected.
    pub fn new(req: Request, status: u16, headers: &[(&str, &str)]) -> io::Result<Self> {
        let (chunks, rx) = flume::bounded(QUEUED_CHUNKS);
        if !req.reply(status, headers, chunked_body(rx)) {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        Ok(Self { chunks })
    }

    /// Sends one chunk.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::BrokenPipe`] if the caller has disconnected or does not read.
    pub fn send(&mut self, data: &[u8]) -> io::Result<()> {
        if data.is_empty() {
            return Ok(());
        }
        self.send_chunk(Chunk::Data(Bytes::copy_from_slice(data)))
    }

    /// Ends the answer such that the caller detects the truncation.
    pub fn abort(self) {}

    /// Ends the answer as complete.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::BrokenPipe`] if the caller has disconnected or does not read.
    pub fn finish(self) -> io::Result<()> {
        self.send_chunk(Chunk::End)
    }

    fn send_chunk(&self, chunk: Chunk) -> io::Result<()> {
        let timeout = Duration::from_secs(SEND_TIMEOUT_S);
        self.chunks
            .send_timeout(chunk, timeout)
            .map_err(|_| io::ErrorKind::BrokenPipe.into())
    }
}

/// Creates a body from a channel of chunks.
fn chunked_body(chunks: Receiver<Chunk>) -> AnswerBody {
    let frames = stream::unfold(Some(chunks), |chunks| async {
        let chunks = chunks?;
        match chunks.recv_async().await {
            Ok(Chunk::Data(data)) => Some((Ok(Frame::data(data)), Some(chunks))),
            Ok(Chunk::End) => None,
            Err(_) => {
                // Lets the connection flush the data sent before.
                tokio::task::yield_now().await;
                Some((Err(BodyTruncated), None))
            }
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

/// Collects a streamed answer, so that it is sent with its length, or replaced by an error if it is
/// truncated. Without chunks, a truncated answer would look complete.
pub(super) async fn collect(reply: Reply) -> Reply {
    if reply.body().size_hint().exact().is_some() {
        return reply;
    }
    let (head, body) = reply.into_parts();
    match read_whole(body).await {
        Ok(whole) => Response::from_parts(head, whole_body(whole)),
        Err(message) => broken_answer(message),
    }
}

/// Reads a streamed answer to its end; an error says why there is no whole answer.
async fn read_whole(mut body: AnswerBody) -> Result<BytesMut, &'static str> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| "the answer broke off")?;
        whole.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
        if whole.len() > MAX_COLLECTED_BYTES {
            return Err("the answer is too long for HTTP/1.0");
        }
    }
    Ok(whole)
}

fn broken_answer(message: &str) -> Reply {
    let refusal = Refusal::outcome_unknown(message);
    let mut reply = Response::new(whole_body(refusal.body()));
    *reply.status_mut() = StatusCode::BAD_GATEWAY;
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}

/// Creates a complete body.
pub(super) fn whole_body(data: impl Into<Bytes>) -> AnswerBody {
    Full::new(data.into())
        .map_err(|e: Infallible| match e {})
        .boxed_unsync()
}
