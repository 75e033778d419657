//! A caller that reads a stream as it arrives, and may leave it.

use std::io::{self, Read, Write};
use std::net::TcpStream;

use super::{Received, Request, Router, WAIT_TIMEOUT};

/// An event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    pub id: u64,
    /// Software version of the target that wrote it.
    pub version: String,
}

/// A stream that a caller is receiving.
#[derive(Debug)]
pub struct OpenStream {
    stream: TcpStream,
    bytes: Vec<u8>,
}

impl OpenStream {
    /// Sends a request for a stream.
    pub fn begin(router: &Router, request: &Request) -> Self {
        Self::try_begin(router.port(), request).unwrap()
    }

    /// Sends a request for a stream to a router that may not run.
    pub fn try_begin(port: u16, request: &Request) -> io::Result<Self> {
        let mut stream = TcpStream::connect(("127.0.0.1", port))?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT))?;
        stream.write_all(request.text().as_bytes())?;
        Ok(Self {
            stream,
            bytes: Vec::new(),
        })
    }

    /// Receives until this many events have arrived, or the connection has ended.
    pub fn receive_events(&mut self, count: usize) {
        let mut buf = [0; 1024];
        while pieces(&self.bytes).len() < count {
            match self.stream.read(&mut buf) {
                Ok(0) | Err(_) => return,
                Ok(n) => self.bytes.extend_from_slice(&buf[..n]),
            }
        }
    }

    /// Receives until the connection ends.
    pub fn receive_rest(mut self) -> Received {
        let ended_in_order = self.stream.read_to_end(&mut self.bytes).is_ok();
        Received::new(self.bytes, ended_in_order)
    }

    /// Closes the connection; returns the events that arrived.
    pub fn leave(self) -> Vec<Piece> {
        pieces(&self.bytes)
    }
}

/// Returns the events in the bytes of an answer.
pub fn pieces(bytes: &[u8]) -> Vec<Piece> {
    let text = String::from_utf8_lossy(bytes);
    let events = text.split("id: ").skip(1);
    let data = events.filter_map(|event| event.split_once("\ndata: ")?.1.split_once("\n\n"));
    let pieces = data.filter_map(|(data, _)| {
        let (id, version) = data.split_once(' ')?;
        Some(Piece {
            id: id.parse().ok()?,
            version: version.into(),
        })
    });
    pieces.collect()
}
