//! Faults that a link injects.

use std::time::Duration;

/// Direction of bytes on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the process that connected to the one that accepted.
    ToServer,
    /// From the process that accepted to the one that connected.
    ToClient,
}

/// Whether a link is cut.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cut {
    /// The link works.
    #[default]
    None,
    /// No byte is delivered. Pending bytes are delivered once the link heals, as TCP would
    /// retransmit them.
    Blackhole,
    /// Open connections are closed, and new ones are closed immediately.
    Closed,
}

/// Faults of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// Whether the link is cut in both directions.
    pub cut: Cut,
    /// Direction in which no byte is delivered, while the other one works.
    pub dropped_direction: Option<Direction>,
    /// Additional delay of each chunk, in milliseconds.
    pub delay_ms: u64,
    /// Rate limit for each direction of each connection, in bytes per millisecond; 0 means no
    /// limit.
    pub bytes_per_ms: u64,
    /// Number of bytes of an answer after which the rest is delivered one byte at a time; 0 means that
    /// all of it is delivered at once.
    pub trickles_after: usize,
}

impl LinkFaults {
    /// Creates a cut that neither end notices.
    pub fn blackhole() -> Self {
        Self {
            cut: Cut::Blackhole,
            ..Self::default()
        }
    }

    /// Creates a cut that closes connections.
    pub fn closed() -> Self {
        Self {
            cut: Cut::Closed,
            ..Self::default()
        }
    }

    /// Creates a cut of one direction.
    pub fn one_way_drop(dropped_direction: Direction) -> Self {
        Self {
            dropped_direction: Some(dropped_direction),
            ..Self::default()
        }
    }

    /// Creates a delay of each chunk, in milliseconds.
    pub fn delayed(delay_ms: u64) -> Self {
        Self {
            delay_ms,
            ..Self::default()
        }
    }

    /// Creates a rate limit, in bytes per millisecond.
    pub fn rate_limited(bytes_per_ms: u64) -> Self {
        Self {
            bytes_per_ms,
            ..Self::default()
        }
    }

    /// Creates a link that delivers the first bytes of an answer, and then one byte at a time, each after
    /// this delay in milliseconds.
    pub fn trickling(first_bytes: usize, delay_ms: u64) -> Self {
        Self {
            delay_ms,
            trickles_after: first_bytes,
            ..Self::default()
        }
    }

    /// Splits bytes into the chunks that are delivered one after the other.
    pub(super) fn chunks<'a>(
        &self,
        direction: Direction,
        bytes: &'a [u8],
    ) -> impl Iterator<Item = &'a [u8]> {
        let trickles = self.trickles_after > 0 && direction == Direction::ToClient;
        let at_once = match trickles {
            true => bytes.len().min(self.trickles_after),
            false => bytes.len(),
        };
        let (first, rest) = bytes.split_at(at_once);
        std::iter::once(first).chain(rest.chunks(1))
    }

    /// Returns the delay of a chunk of this many bytes.
    pub(super) fn delay(&self, bytes: usize) -> Duration {
        let transfer = (bytes as u64).checked_div(self.bytes_per_ms);
        Duration::from_millis(self.delay_ms + transfer.unwrap_or(0))
    }

    /// Returns whether bytes are delivered in this direction.
    pub(super) fn passes(&self, direction: Direction) -> bool {
        self.cut == Cut::None && self.dropped_direction != Some(direction)
    }
}
