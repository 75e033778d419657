//! Frames of a streamed answer, read on a separate thread, with a deadline for each frame.
//!
//! The timeouts of the HTTP clients cover a whole exchange and cannot be changed while it runs. An
//! abandoned reader ends at the timeout of its exchange, or at its next frame, which has no
//! receiver any more.

use std::thread::Builder;

use derive_more::{Display, Error};
use flume::{Receiver, RecvTimeoutError, Sender};

use crate::prelude::*;

/// Timeout of one exchange, in seconds; a router attaches again to a run that takes longer.
pub const EXCHANGE_TIMEOUT_S: u64 = 600;

/// Number of frames that are buffered for the receiver.
const READ_AHEAD: usize = 64;

/// Stack size of a reader thread, in bytes.
const STACK_SIZE: usize = 128 * 1024;

/// Reason why a stream has no further frame.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StreamError {
    /// No connection could be made; nothing was sent.
    #[display("no connection ({cause}); try another target")]
    NotSent {
        /// Error of the transport.
        cause: String,
    },
    /// The request was sent, and the connection broke.
    #[display("the connection broke ({cause}); attach again")]
    Broken {
        /// Error of the transport.
        cause: String,
    },
    /// Nothing arrived before the deadline.
    #[display("nothing arrived in time; attach again on a new connection")]
    TimedOut,
}

/// One part of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// Status and headers.
    Head {
        /// HTTP status.
        status: u16,
        /// Header names and values.
        headers: Vec<(String, String)>,
    },
    /// A line without its line ending.
    Line(String),
    /// Bytes of an answer that is not read by lines.
    Bytes(Vec<u8>),
    /// End of the answer.
    End,
}

/// A frame, or the reason why there is none.
pub type FrameResult = Result<Frame, StreamError>;

/// Receiver for the frames of a streamed answer; without a final [`Frame::End`] or error, the answer
/// is broken.
pub struct FrameReceiver {
    rx: Receiver<FrameResult>,
}

impl FrameReceiver {
    /// Runs `read` on a new thread, which sends the frames of an answer.
    pub fn new(read: impl FnOnce(&Sender<FrameResult>) + Send + 'static) -> Self {
        let (tx, rx) = flume::bounded(READ_AHEAD);
        let work = {
            let tx = tx.clone();
            move || read(&tx)
        };
        let builder = Builder::new().name("reader".into()).stack_size(STACK_SIZE);
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
    /// [`StreamError`] if the connection could not be made or broke, or if nothing arrived by
    /// `deadline`.
    pub fn next(&self, deadline: Instant) -> FrameResult {
        match self.rx.recv_deadline(deadline) {
            Ok(frame) => frame,
            Err(RecvTimeoutError::Timeout) => Err(StreamError::TimedOut),
            Err(RecvTimeoutError::Disconnected) => Err(StreamError::Broken {
                cause: "the reader ended".into(),
            }),
        }
    }
}
