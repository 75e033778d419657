//! Streamed answers read line by line with minreq.
//!
//! minreq doesn't tell a truncated body from a complete one, so this is only for answers whose last
//! line marks them as complete.

use std::io::{BufRead, BufReader, Read};

use flume::Sender;

use crate::http::frames::{EXCHANGE_TIMEOUT_S, Frame, FrameReceiver, FrameResult, StreamError};

/// Maximum size of a line, in bytes; far above the text of one token.
const MAX_LINE_BYTES: u64 = 256 << 10;

/// Sends a request and streams the lines of its answer.
pub fn stream_lines(req: minreq::Request) -> FrameReceiver {
    FrameReceiver::new(move |tx| read_all(req, tx))
}

/// Reads an answer until it ends or the receiver is dropped.
fn read_all(req: minreq::Request, tx: &Sender<FrameResult>) {
    let answer = match req
        .with_timeout(EXCHANGE_TIMEOUT_S)
        .with_follow_redirects(false)
        .with_header("connection", "close")
        .send_lazy()
    {
        Ok(answer) => answer,
        Err(e) => {
            let _ = tx.send(Err(classify(&e)));
            return;
        }
    };
    if answer.headers.is_empty() {
        // minreq returns a 503 of its own if the connection closes before the status line.
        let cause = answer.reason_phrase.clone();
        let _ = tx.send(Err(StreamError::Broken { cause }));
        return;
    }
    let status = answer.status_code;
    let headers = answer
        .headers
        .iter()
        .map(|(k, v)| (k.clone(), v.clone()))
        .collect();
    if tx.send(Ok(Frame::Head { status, headers })).is_err() {
        return;
    }
    let last = match read_lines(BufReader::new(answer), tx) {
        Ok(()) => Ok(Frame::End),
        Err(e) => Err(StreamError::Broken {
            cause: e.to_string(),
        }),
    };
    let _ = tx.send(last);
}

fn read_lines(mut reader: impl BufRead, tx: &Sender<FrameResult>) -> std::io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.by_ref().take(MAX_LINE_BYTES).read_line(&mut line)? == 0 {
            return Ok(());
        }
        if line.len() as u64 == MAX_LINE_BYTES {
            return Err(std::io::Error::other("a line is too long"));
        }
        let end = line.trim_end_matches(['\r', '\n']).len();
        line.truncate(end);
        if tx.send(Ok(Frame::Line(line))).is_err() {
            return Ok(());
        }
    }
}

/// Classifies a transport error by whether the request was sent.
fn classify(e: &minreq::Error) -> StreamError {
    let cause = e.to_string();
    match e {
        minreq::Error::AddressNotFound => StreamError::NotSent { cause },
        minreq::Error::IoError(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            StreamError::NotSent { cause }
        }
        _ => StreamError::Broken { cause },
    }
}
