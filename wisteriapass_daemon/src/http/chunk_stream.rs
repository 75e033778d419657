//! Streamed answers read in chunks with ureq, which reports a truncated body as an error.

use std::io;
use std::time::Duration;

use flume::Sender;
use ureq::{Agent, AgentBuilder, ErrorKind, Response};

use crate::http::frames::{EXCHANGE_TIMEOUT_S, Frame, FrameReceiver, FrameResult, StreamError};

/// Maximum size of a chunk, in bytes.
const CHUNK_SIZE: usize = 16 * 1024;

/// Timeout for connecting, in seconds.
const CONNECT_TIMEOUT_S: u64 = 5;

/// A request whose answer is streamed in chunks.
#[derive(Clone, Debug)]
pub struct StreamedRequest {
    /// HTTP method.
    pub method: String,
    /// URL of the request.
    pub url: String,
    /// Header names and values.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// Sends a request once, on a new connection, and streams its answer in chunks.
pub fn stream_chunks(req: StreamedRequest) -> FrameReceiver {
    FrameReceiver::new(move |tx| {
        // The receiver may have been dropped already; it needs no final frame.
        let _ = tx.send(read_all(&req, tx));
    })
}

fn read_all(req: &StreamedRequest, tx: &Sender<FrameResult>) -> FrameResult {
    let answer = send(req)?;
    let headers = answer.headers_names();
    let headers = headers
        .into_iter()
        .flat_map(|name| {
            let values = answer.all(&name).into_iter().map(str::to_owned);
            values.map(|v| (name.clone(), v)).collect::<Vec<_>>()
        })
        .collect();
    let status = answer.status();
    if tx.send(Ok(Frame::Head { status, headers })).is_err() {
        return Ok(Frame::End);
    }
    let marks_end = marks_end(&req.method, &answer);
    match read_chunks(answer.into_reader(), tx) {
        Ok(()) if marks_end => Ok(Frame::End),
        Ok(()) => Err(StreamError::Broken {
            cause: "the answer has neither a length nor chunks".into(),
        }),
        Err(e) => Err(StreamError::Broken {
            cause: e.to_string(),
        }),
    }
}

fn send(req: &StreamedRequest) -> Result<Response, StreamError> {
    let mut call = agent()
        .request(&req.method, &req.url)
        .set("connection", "close");
    for (name, value) in &req.headers {
        call = call.set(name, value);
    }
    let sent = if req.body.is_empty() {
        call.call()
    } else {
        call.send_bytes(&req.body)
    };
    match sent {
        Ok(answer) | Err(ureq::Error::Status(_, answer)) => Ok(answer),
        Err(ureq::Error::Transport(e)) => {
            let cause = e.to_string();
            match e.kind() {
                ErrorKind::ConnectionFailed | ErrorKind::Dns | ErrorKind::InvalidUrl => {
                    Err(StreamError::NotSent { cause })
                }
                _ => Err(StreamError::Broken { cause }),
            }
        }
    }
}

/// Returns whether an answer marks its end. One that ends only with its connection may be a part,
/// because an aborted connection can end like a finished one.
fn marks_end(method: &str, answer: &Response) -> bool {
    let has_no_body = method.eq_ignore_ascii_case("HEAD") || matches!(answer.status(), 204 | 304);
    let length = answer.header("content-length").map(str::parse::<usize>);
    let encoding = answer.header("transfer-encoding").unwrap_or_default();
    let is_chunked = answer.http_version() != "HTTP/1.0" && !encoding.is_empty();
    has_no_body || is_chunked || length.is_some_and(|n| n.is_ok())
}

/// Returns a new agent, so that no connection is reused.
fn agent() -> Agent {
    AgentBuilder::new()
        .redirects(0)
        .timeout_connect(Duration::from_secs(CONNECT_TIMEOUT_S))
        .timeout(Duration::from_secs(EXCHANGE_TIMEOUT_S))
        .build()
}

fn read_chunks(mut reader: impl io::Read, tx: &Sender<FrameResult>) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_SIZE];
    loop {
        let n = reader.read(&mut chunk)?;
        if n == 0 {
            return Ok(());
        }
        if tx.send(Ok(Frame::Bytes(chunk[..n].to_vec()))).is_err() {
            return Ok(());
        }
    }
}
