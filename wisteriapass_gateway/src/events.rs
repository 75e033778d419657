//! Reading a stream of events: whole events only, with their ids.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// Longest event that is kept in memory, in bytes; far above what a token's text takes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, the blank line included.
    pub bytes: Bytes,
    /// Its id, if it has one.
    pub id: Option<u64>,
}

/// Cuts bytes into events.
#[derive(Debug, Default)]
pub struct EventReader {
    buf: BytesMut,
}

impl EventReader {
    /// Takes bytes in; `false` if an event is longer than any that can be right.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= MAX_EVENT_BYTES
    }

    /// Returns the next whole event.
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

    /// Returns what is left behind the last whole event.
    pub fn rest(&mut self) -> Bytes {
        self.buf.split().freeze()
    }
}

/// Returns the number in an event's `id` line.
fn id_of(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
