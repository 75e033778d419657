//! Answers that never end.

use std::io::{self, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

use super::wire::ReceivedRequest;

/// Size of each piece of an answer that is sent as fast as it is read, in bytes.
const PIECE_BYTES: usize = 4_096;

/// Pause between two bytes of an answer that is sent slowly.
const DRIP_INTERVAL: Duration = Duration::from_millis(20);

/// The part of an answer that never ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessPart {
    /// A header.
    Head,
    /// Informational responses before the answer.
    Informational,
    /// The size of a chunk.
    ChunkSize,
    /// A body in chunks.
    Chunks,
    /// A body without length.
    Unframed,
    /// An event of a stream in chunks.
    Event,
    /// Events of a stream without length, with increasing ids.
    Events,
    /// Blank lines after the first event of a stream.
    BlankLines,
}

impl EndlessPart {
    /// Returns what precedes the part.
    fn prefix(self, headers: &str) -> String {
        let head = format!("HTTP/1.1 200 OK\r\n{headers}X-Server-Stamp: s\r\n");
        let chunked = "Transfer-Encoding: chunked\r\n\r\n";
        let stream = "Content-Type: text/event-stream\r\n";
        match self {
            Self::Head => format!("{head}X-Filler: "),
            Self::Informational => String::new(),
            Self::ChunkSize | Self::Chunks => format!("{head}{chunked}"),
            Self::Unframed => format!("{head}\r\n"),
            Self::Event => format!("{head}{stream}{chunked}"),
            Self::Events => format!("{head}{stream}\r\n"),
            Self::BlankLines => format!("{head}{stream}\r\nid: 1\ndata: x\n\n"),
        }
    }

    /// Returns the next bytes of the part.
    fn piece(self, number: usize) -> String {
        let filler = "0".repeat(PIECE_BYTES);
        match self {
            Self::Head | Self::ChunkSize | Self::Unframed => filler,
            Self::Informational => "HTTP/1.1 102 Processing\r\n\r\n".repeat(PIECE_BYTES / 27),
            Self::Chunks | Self::Event => format!("{PIECE_BYTES:x}\r\n{filler}\r\n"),
            Self::Events => format!("id: {number}\ndata: {filler}\n\n"),
            Self::BlankLines => "\n".repeat(PIECE_BYTES),
        }
    }

    /// Sends the answer as fast as it is read, until the connection ends.
    pub(super) fn send(self, out: &mut TcpStream, request: &ReceivedRequest) -> io::Result<()> {
        out.write_all(self.prefix(&request.answer_headers()).as_bytes())?;
        for number in 1.. {
            out.write_all(self.piece(number).as_bytes())?;
        }
        Ok(())
    }

    /// Sends the answer slowly, until the connection ends.
    pub(super) fn drip(self, out: &mut TcpStream, request: &ReceivedRequest) -> io::Result<()> {
        out.write_all(self.prefix(&request.answer_headers()).as_bytes())?;
        for number in 1.. {
            for byte in self.piece(number).as_bytes() {
                out.write_all(&[*byte])?;
                sleep(DRIP_INTERVAL);
            }
        }
        Ok(())
    }
}
