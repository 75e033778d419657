//! Parser for streams of server-sent events; yields complete events with their ids.

use bytes::{Bytes, BytesMut};
use memchr::memchr2;

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

impl Event {
    /// Returns whether the event may follow the one with the id `last`; one without an id follows
    /// any.
    pub fn follows(&self, last: Option<u64>) -> bool {
        let (Some(last), Some(id)) = (last, self.id) else {
            return true;
        };
        Some(id) == last.checked_add(1)
    }

    /// Returns whether it has a field, rather than comments alone.
    pub fn has_fields(&self) -> bool {
        has_fields(&self.bytes)
    }
}

/// Splits a byte stream into events. Lines end with LF, CR or both.
#[derive(Debug, Default)]
pub struct EventReader {
    buf: BytesMut,
    /// Start of the first line that has not been examined.
    line_start: usize,
    /// Whether the line before ended with CR, to which an LF may belong.
    is_after_cr: bool,
}

impl EventReader {
    /// Appends bytes; returns `false` if the buffer exceeds the size of any valid event.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= MAX_EVENT_BYTES
    }

    /// Returns the number of buffered bytes.
    pub fn len(&self) -> usize {
        self.buf.len()
    }

    /// Returns whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        self.skip_line_feed();
        while let Some(length) = memchr2(b'\n', b'\r', &self.buf[self.line_start..]) {
            let line_end = self.line_start + length;
            self.is_after_cr = self.buf[line_end] == b'\r';
            self.line_start = line_end + 1;
            self.skip_line_feed();
            if length == 0 {
                self.skip_blank_lines();
                return Some(self.take_event());
            }
        }
        None
    }

    /// Skips an LF that belongs to the end of the line before.
    fn skip_line_feed(&mut self) {
        if let Some(next) = self.buf.get(self.line_start) {
            self.line_start += usize::from(self.is_after_cr && *next == b'\n');
            self.is_after_cr = false;
        }
    }

    /// Skips blank lines after the end of an event: they belong to no other one.
    fn skip_blank_lines(&mut self) {
        let rest = &self.buf[self.line_start..];
        let blank = rest.iter().take_while(|byte| is_line_end(**byte)).count();
        if let Some(last) = rest[..blank].last() {
            self.is_after_cr = *last == b'\r';
            self.line_start += blank;
        }
    }

    /// Returns whether the bytes after the last complete event are the beginning of another one,
    /// rather than blank lines and comments.
    pub fn is_inside_event(&self) -> bool {
        has_fields(&self.buf)
    }

    /// Takes the bytes after the last complete event.
    pub fn rest(&mut self) -> Bytes {
        self.line_start = 0;
        self.buf.split().freeze()
    }

    fn take_event(&mut self) -> Event {
        let bytes = self.buf.split_to(self.line_start).freeze();
        self.line_start = 0;
        let id = id_of(&bytes);
        Event { bytes, id }
    }
}

/// Returns whether any line is neither blank nor a comment.
fn has_fields(text: &[u8]) -> bool {
    let mut lines = text.split_inclusive(|byte| is_line_end(*byte));
    lines.any(|line| !is_blank(line) && !line.starts_with(b":"))
}

fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

fn is_blank(line: &[u8]) -> bool {
    line.iter().all(|byte| is_line_end(*byte))
}

/// Parses the `id` field of an event.
fn id_of(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| is_line_end(*byte));
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
