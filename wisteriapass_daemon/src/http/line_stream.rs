//! Reading a streamed answer with a deadline for its next line.
//!
//! minreq's timeout covers a whole exchange and cannot be changed while it goes on, so the
//! exchange is read on a thread of its own. A reader given up on ends at the exchange's timeout.

use std::io::{BufRead, BufReader, Read};
use std::thread::Builder;
use std::time::Instant;

use derive_more::{Display, Error};
use flume::{Receiver, RecvTimeoutError, Sender};

/// Longest time of one exchange, in seconds; a longer run is attached to again.
pub const EXCHANGE_S: u64 = 600;

/// Pieces read ahead of whoever consumes them.
const READ_AHEAD: usize = 64;

/// Stack of a reader thread, in bytes.
const STACK: usize = 128 * 1024;

/// Bytes of a raw body read at once.
const PIECE: usize = 16 * 1024;

/// Why a stream gave no further frame.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StreamError {
    /// No connection could be made; nothing was sent.
    #[display("no connection ({cause}); try another target")]
    NotSent {
        /// What the system said.
        cause: String,
    },
    /// The request was sent, and the connection broke.
    #[display("the connection broke ({cause}); attach again")]
    Broken {
        /// What the system said.
        cause: String,
    },
    /// Nothing came before the deadline.
    #[display("the connection went silent; attach again on a fresh one")]
    Silent,
}

/// One piece of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// Status and headers.
    Head {
        /// HTTP status.
        status: u16,
        /// Header names and values.
        headers: Vec<(String, String)>,
    },
    /// A line without its end.
    Line(String),
    /// Bytes, where the answer is not read by lines.
    Bytes(Vec<u8>),
    /// The answer is over.
    End,
}

/// How the body is cut into frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cut {
    Lines,
    Pieces,
}

/// A streamed answer being read.
pub struct LineStream {
    rx: Receiver<Result<Frame, StreamError>>,
}

impl LineStream {
    /// Sends a request and reads its answer line by line.
    pub fn lines(req: minreq::Request) -> Self {
        Self::open(req, Cut::Lines)
    }

    /// Sends a request and reads its answer in pieces of bytes.
    pub fn pieces(req: minreq::Request) -> Self {
        Self::open(req, Cut::Pieces)
    }

    fn open(req: minreq::Request, cut: Cut) -> Self {
        let (tx, rx) = flume::bounded(READ_AHEAD);
        let read = {
            let tx = tx.clone();
            move || read_all(req, cut, &tx)
        };
        let builder = Builder::new().name("reader".into()).stack_size(STACK);
        if let Err(e) = builder.spawn(read) {
            let _ = tx.try_send(Err(StreamError::NotSent {
                cause: e.to_string(),
            }));
        }
        Self { rx }
    }

    /// Returns the next frame.
    ///
    /// # Errors
    ///
    /// [`StreamError`] if the connection could not be made, broke, or nothing came by `deadline`.
    pub fn next(&self, deadline: Instant) -> Result<Frame, StreamError> {
        match self.rx.recv_deadline(deadline) {
            Ok(frame) => frame,
            Err(RecvTimeoutError::Timeout) => Err(StreamError::Silent),
            Err(RecvTimeoutError::Disconnected) => Ok(Frame::End),
        }
    }
}

/// Reads an answer until its end, or until nobody wants it.
fn read_all(req: minreq::Request, cut: Cut, tx: &Sender<Result<Frame, StreamError>>) {
    let answer = match req
        .with_timeout(EXCHANGE_S)
        .with_follow_redirects(false)
        .with_header("connection", "close")
        .send_lazy()
    {
        Ok(answer) => answer,
        Err(e) => {
            let _ = tx.send(Err(sort(&e)));
            return;
        }
    };
    if answer.headers.is_empty() {
        // minreq makes up a 503 when the connection closes before a status line.
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
    let ended = match cut {
        Cut::Lines => read_lines(BufReader::new(answer), tx),
        Cut::Pieces => read_pieces(answer, tx),
    };
    let last = match ended {
        Ok(()) => Ok(Frame::End),
        Err(e) => Err(StreamError::Broken {
            cause: e.to_string(),
        }),
    };
    let _ = tx.send(last);
}

fn read_lines(
    mut reader: impl BufRead,
    tx: &Sender<Result<Frame, StreamError>>,
) -> std::io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let end = line.trim_end_matches(['\r', '\n']).len();
        line.truncate(end);
        if tx.send(Ok(Frame::Line(line))).is_err() {
            return Ok(());
        }
    }
}

fn read_pieces(
    mut reader: impl Read,
    tx: &Sender<Result<Frame, StreamError>>,
) -> std::io::Result<()> {
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

/// Sorts a transport error by whether the request was sent.
fn sort(e: &minreq::Error) -> StreamError {
    let cause = e.to_string();
    match e {
        minreq::Error::AddressNotFound => StreamError::NotSent { cause },
        minreq::Error::IoError(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            StreamError::NotSent { cause }
        }
        _ => StreamError::Broken { cause },
    }
}
