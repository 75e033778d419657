//! Parser for streams of server-sent events; yields complete events with their ids.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// Maximum size of the buffered data, in bytes; far above the text of one token.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Raw bytes, including the terminating blank line.
    pub bytes: Bytes,
    /// Event id, if present.
    pub id: Option<u64>,
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct EventReader {
    buf: BytesMut,
}

impl EventReader {
    /// Appends bytes; returns `false` if the buffer exceeds the size of any valid event.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= MAX_EVENT_BYTES
    }

    /// Returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = memmem::find(&self.buf, b"\n\n").map(|at| at + 2);
        let crlf = memmem::find(&self.buf, b"\r\n\r\n").map(|at| at + 4);
        let end = match (end, crlf) {
            (Some(a), Some(b)) => a.min(b),
            (a, b) => a.or(b)?,
        };
        let bytes = self.buf.split_to(end).freeze();
        let id = id_of(&bytes);
        Some(Event { bytes, id })
    }

    /// Takes the bytes after the last complete event.
    pub fn rest(&mut self) -> Bytes {
        self.buf.split().freeze()
    }
}

/// Parses the `id` field of an event.
fn id_of(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
