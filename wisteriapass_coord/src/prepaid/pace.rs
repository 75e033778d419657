//! How often a router exchanges its shares with the record, so that every router gets to write.
//!
//! Many routers write one record over links of different speed, and a write takes effect only if no
//! other router wrote since its writer read the record. If all of them wrote as often as they
//! liked, routers behind slow links would never succeed. So each router leaves time for the others,
//! and the interval between its exchanges grows with the number of routers.

/// Shortest interval between two exchanges, in milliseconds. Requests that arrive in between share
/// one exchange, and their wait is short compared with the deadline of an answer.
const MIN_URGENT_INTERVAL_MS: u64 = 60;

/// Shortest interval between two exchanges of which the later one only reduces what could be lost, in
/// milliseconds.
const MIN_LOSS_INTERVAL_MS: u64 = 100;

/// Shortest interval between two exchanges while no request waits, in milliseconds. The proof that
/// a seal is intact is at most about this old.
const MIN_IDLE_INTERVAL_MS: u64 = 500;

/// Time left for each router between two exchanges of this one, in milliseconds: a few for the
/// answers of the store, and the transfer of some kilobytes over a 10 Mbit/s link.
const URGENT_SLOT_MS: u64 = 30;

/// The same while no request waits.
const IDLE_SLOT_MS: u64 = 30;

/// Longest interval between two exchanges, in milliseconds; well below the time after which sealed
/// parts open.
const MAX_INTERVAL_MS: u64 = 1_500;

/// Longest backoff after a write conflict, in milliseconds. It keeps routers that collided once
/// from colliding again, and is so short that the record that was read is still recent.
const MAX_BACKOFF_MS: u64 = 20;

/// Schedule of a router's exchanges.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    routers: u64,
    /// Duration of the last exchange, in milliseconds.
    took_ms: u64,
}

impl Pace {
    /// Creates the schedule of one of `routers` whose last exchange took `took_ms`.
    pub fn new(routers: usize, took_ms: u64) -> Self {
        Self {
            routers: routers as u64,
            took_ms,
        }
    }

    /// Returns the time to the next exchange if a request waits for it, in milliseconds.
    pub fn urgent_interval_ms(self) -> u64 {
        self.round_ms(URGENT_SLOT_MS).max(MIN_URGENT_INTERVAL_MS)
    }

    /// Returns the time to the next exchange if more could be lost than should be, in milliseconds.
    pub fn loss_interval_ms(self) -> u64 {
        self.urgent_interval_ms().max(MIN_LOSS_INTERVAL_MS)
    }

    /// Returns the time to the next exchange if no request waits, in milliseconds.
    pub fn idle_interval_ms(self) -> u64 {
        self.round_ms(IDLE_SLOT_MS).max(MIN_IDLE_INTERVAL_MS)
    }

    /// Returns the backoff after a write that conflicted with another router's write, in
    /// milliseconds; `random` is uniformly distributed between 0 and 1.
    pub fn conflict_backoff_ms(self, random: f64) -> u64 {
        (MAX_BACKOFF_MS as f64 * random) as u64
    }

    /// Returns the time in which every router gets its turn, in milliseconds. At a slow store, one
    /// of the routers that write at the same time succeeds.
    fn round_ms(self, slot_ms: u64) -> u64 {
        let turns = self.routers * slot_ms.max(self.took_ms / 2);
        if self.routers < 2 {
            return 0;
        }
        turns.min(MAX_INTERVAL_MS.max(self.routers * self.took_ms / 2))
    }
}
