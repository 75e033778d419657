//! Frames of a streamed answer, read on a thread of its own, with a deadline for the next one.
//!
//! The HTTP clients' timeouts cover a whole exchange and cannot be changed while it goes on. A
//! reader given up on ends at the exchange's timeout, or when a frame comes that nobody takes.

use std::thread::Builder;

use derive_more::{Display, Error};
use flume::{Receiver, RecvTimeoutError, Sender};

use crate::prelude::*;

/// Longest time of one exchange, in seconds; a longer run is attached to again.
pub const EXCHANGE_S: u64 = 600;

/// Frames read ahead of whoever consumes them.
const READ_AHEAD: usize = 64;

/// Stack of a reader thread, in bytes.
const STACK: usize = 128 * 1024;

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
    TimedOut,
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

/// A frame, or why there is none.
pub type FrameResult = Result<Frame, StreamError>;

/// A streamed answer being read.
pub struct FrameReceiver {
    rx: Receiver<FrameResult>,
}

impl FrameReceiver {
    /// Has `read` read an answer on a thread of its own.
    pub fn new(read: impl FnOnce(&Sender<FrameResult>) + Send + 'static) -> Self {
        let (tx, rx) = flume::bounded(READ_AHEAD);
        let work = {
            let tx = tx.clone();
            move || read(&tx)
        };
        let builder = Builder::new().name("reader".into()).stack_size(STACK);
        if let Err(e) = builder.spawn(work) {
            let cause = e.to_string();
            let _ = tx.try_send(Err(StreamError::NotSent { cause }));
        }
        Self { rx }
    }

    /// Returns the next frame.
    ///
    /// # Errors
    ///
    /// [`StreamError`] if the connection could not be made, broke, or nothing came by `deadline`.
    pub fn next(&self, deadline: Instant) -> FrameResult {
        match self.rx.recv_deadline(deadline) {
            Ok(frame) => frame,
            Err(RecvTimeoutError::Timeout) => Err(StreamError::TimedOut),
            Err(RecvTimeoutError::Disconnected) => Ok(Frame::End),
        }
    }
}
