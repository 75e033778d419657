//! Answers read in pieces of bytes, by ureq, which tells a body that was cut from a whole one.

use std::io;
use std::time::Duration;

use flume::Sender;
use ureq::{Agent, AgentBuilder, ErrorKind, Response};

use crate::http::frames::{EXCHANGE_S, Frame, FrameReceiver, FrameResult, StreamError};

/// Bytes read at once.
const PIECE: usize = 16 * 1024;

/// Longest time to connect, in seconds.
const CONNECT_S: u64 = 5;

/// A request whose answer is read in pieces.
#[derive(Clone, Debug)]
pub struct StreamedRequest {
    /// HTTP method.
    pub method: String,
    /// Where it goes.
    pub url: String,
    /// Header names and values.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// Sends a request on a fresh connection, once, and reads its answer in pieces.
pub fn stream_chunks(req: StreamedRequest) -> FrameReceiver {
    FrameReceiver::new(move |tx| {
        // Whoever gave the stream up needs no last word.
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
    match read_pieces(answer.into_reader(), tx) {
        Ok(()) => Ok(Frame::End),
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

/// Returns an agent of its own, whose connections nobody used before.
fn agent() -> Agent {
    AgentBuilder::new()
        .redirects(0)
        .timeout_connect(Duration::from_secs(CONNECT_S))
        .timeout(Duration::from_secs(EXCHANGE_S))
        .build()
}

fn read_pieces(mut reader: impl io::Read, tx: &Sender<FrameResult>) -> io::Result<()> {
    let mut piece = vec![0; PIECE];
    loop {
        let n = reader.read(&mut piece)?;
        if n == 0 {
            return Ok(());
        }
        if tx.send(Ok(Frame::Bytes(piece[..n].to_vec()))).is_err() {
            return Ok(());
        }
    }
}
