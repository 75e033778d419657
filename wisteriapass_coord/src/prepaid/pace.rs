//! How often a router exchanges its shares, so that all routers of a record come to write.
//!
//! Answers many routers that write one record over links of unequal speed. A write takes effect
//! only if nobody wrote since its writer read; if all write as often as they like, those behind
//! slow links never do. So each leaves the others their time, and the time between two exchanges
//! grows with the routers.

/// Shortest time between two exchanges, in milliseconds: requests that come meanwhile share one,
/// and wait little beside the time in which an answer is on time.
const LEAST_PAUSE_MS: u64 = 60;

/// Time between two exchanges when nobody waits, in milliseconds: the proof that a seal is whole
/// is that young.
const LEAST_TICK_MS: u64 = 500;

/// Time left to each router between two of one's own exchanges, in milliseconds: a few for the
/// service's answers, and the transfer of some kilobytes over a link of 10 Mbit/s.
const SLOT_MS: u64 = 30;

/// The same when nobody waits.
const CALM_SLOT_MS: u64 = 30;

/// Longest time between two exchanges, in milliseconds: well within the time after which sealed
/// parts open.
const MOST_TICK_MS: u64 = 1_500;

/// Longest pause behind a write that came too late, in milliseconds: routers that met once do not
/// meet again, and what the service said is still new.
const APART_MS: u64 = 20;

/// How often a router exchanges its shares.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    routers: u64,
    /// Time that the last exchange took, in milliseconds.
    took_ms: u64,
}

impl Pace {
    /// Creates the pace of one of `routers` whose last exchange took so long.
    pub fn new(routers: usize, took_ms: u64) -> Self {
        Self {
            routers: routers as u64,
            took_ms,
        }
    }

    /// Returns the time to the next exchange if a request waits for it, in milliseconds.
    pub fn urgent_interval_ms(self) -> u64 {
        self.all(SLOT_MS).max(LEAST_PAUSE_MS)
    }

    /// Returns the time to the next exchange if nobody waits, in milliseconds.
    pub fn idle_interval_ms(self) -> u64 {
        self.all(CALM_SLOT_MS).max(LEAST_TICK_MS)
    }

    /// Returns the time to the next try after another router's write came first, in milliseconds;
    /// `draw` is drawn from 0 to 1.
    pub fn conflict_backoff_ms(self, draw: f64) -> u64 {
        (APART_MS as f64 * draw) as u64
    }

    /// Returns the time in which every router has its turn, in milliseconds; at a slow service one
    /// of those that write at the same time gets through.
    fn all(self, slot_ms: u64) -> u64 {
        let turns = self.routers * slot_ms.max(self.took_ms / 2);
        if self.routers < 2 {
            return 0;
        }
        turns.min(MOST_TICK_MS.max(self.routers * self.took_ms / 2))
    }
}
