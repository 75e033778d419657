//! Fault switches of a link.

use std::time::Duration;

/// Way that bytes take over a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From who connected to who accepted.
    ToServer,
    /// From who accepted to who connected.
    ToClient,
}

/// Whether a link is cut.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cut {
    /// It is not.
    #[default]
    None,
    /// No byte passes; what waits passes after the link has healed, as TCP would send it again.
    Blackhole,
    /// Open connections are closed, and new ones are closed at once.
    Closed,
}

/// Faults of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// Whether it is cut both ways.
    pub cut: Cut,
    /// Direction in which no byte passes, while the other works.
    pub dropped_direction: Option<Direction>,
    /// Time by which each piece comes later, in milliseconds.
    pub delay_ms: u64,
    /// Bytes of one direction of one connection that pass in a millisecond; 0 sets no bound.
    pub bytes_per_ms: u64,
}

impl LinkFaults {
    /// Creates a cut without a sign of it at either end.
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

    /// Creates a delay, in milliseconds.
    pub fn delayed(delay_ms: u64) -> Self {
        Self {
            delay_ms,
            ..Self::default()
        }
    }

    /// Creates a bound of the bytes that pass in a millisecond.
    pub fn rate_limited(bytes_per_ms: u64) -> Self {
        Self {
            bytes_per_ms,
            ..Self::default()
        }
    }

    /// Returns how much later a piece of this many bytes comes.
    pub(super) fn delay(&self, bytes: usize) -> Duration {
        let transfer = (bytes as u64).checked_div(self.bytes_per_ms);
        Duration::from_millis(self.delay_ms + transfer.unwrap_or(0))
    }

    /// Returns whether bytes pass in this direction.
    pub(super) fn passes(&self, to: Direction) -> bool {
        self.cut == Cut::None && self.dropped_direction != Some(to)
    }
}
