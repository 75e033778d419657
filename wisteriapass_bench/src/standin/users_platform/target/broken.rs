//! Answers that break off.

use std::io::{self, Write};
use std::net::TcpStream;
use std::time::Duration;

use socket2::SockRef;

use super::wire::{self, PLAIN_BODY, ReceivedRequest};

/// Beginning of an event that never arrives whole.
const PARTIAL_EVENT: &str = "id: 99\nda";

/// Comment that keeps a connection open.
const COMMENT: &str = ": ping\n\n";

/// Where a stream breaks off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BreakPoint {
    /// Behind a part of an event.
    #[default]
    InsideEvent,
    /// Behind a whole event.
    BetweenEvents,
    /// Behind a comment that follows the last whole event.
    BehindComment,
}

/// What marks the end of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Framing {
    /// The last chunk of a stream, which a break leaves out, or the length of a plain body.
    #[default]
    Framed,
    /// As [`Self::Framed`], but a stream that breaks off has a last chunk as well.
    Ended,
    /// Only the end of the connection.
    Unframed,
}

impl Framing {
    /// Sends a part of a stream.
    pub(super) fn send(self, out: &mut TcpStream, text: &str) -> io::Result<()> {
        match self {
            _ if text.is_empty() => Ok(()),
            Self::Unframed => out.write_all(text.as_bytes()),
            Self::Framed | Self::Ended => write!(out, "{:x}\r\n{text}\r\n", text.len()),
        }
    }
}

/// How an answer breaks off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BreakOff {
    /// Id of the last whole event of a stream; a plain answer breaks off within its body.
    pub after: u64,
    /// Where a stream breaks off.
    pub at: BreakPoint,
    /// What marks the end of the answer.
    pub framing: Framing,
    /// Whether the connection is reset, rather than closed in order.
    pub is_reset: bool,
}

impl BreakOff {
    /// Breaks off a chunked stream inside the event after this one.
    pub fn after(after: u64) -> Self {
        Self {
            after,
            ..Self::default()
        }
    }

    /// Sends the part of an answer that precedes the break.
    pub(super) fn send(self, out: &mut TcpStream, request: &ReceivedRequest) -> io::Result<()> {
        if request.is_stream() {
            return self.send_stream(out, request);
        }
        let half = &PLAIN_BODY[..PLAIN_BODY.len() / 2];
        wire::send_plain(out, &request.answer_headers(), self.framing, half)?;
        self.prepare_end(out)
    }

    /// As [`Self::send`], but sends a stream to any request.
    pub(super) fn send_stream(
        self,
        out: &mut TcpStream,
        request: &ReceivedRequest,
    ) -> io::Result<()> {
        wire::send_stream(out, request, self.after, 1, self.framing)?;
        let part = match self.at {
            BreakPoint::InsideEvent => PARTIAL_EVENT,
            BreakPoint::BetweenEvents => "",
            BreakPoint::BehindComment => COMMENT,
        };
        match self.framing {
            // The chunk announces more than arrives.
            Framing::Framed => write!(out, "10\r\n{part}")?,
            Framing::Unframed => self.framing.send(out, part)?,
            Framing::Ended => {
                self.framing.send(out, part)?;
                out.write_all(b"0\r\n\r\n")?;
            }
        }
        self.prepare_end(out)
    }

    /// Makes the system reset the connection when it is closed, if it is to be reset.
    fn prepare_end(self, out: &TcpStream) -> io::Result<()> {
        let linger = self.is_reset.then_some(Duration::ZERO);
        SockRef::from(out).set_linger(linger)
    }
}
