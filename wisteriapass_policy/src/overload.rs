//! Whether a router keeps up with what comes to it.
//!
//! Answers callers that press on one router beyond what its link or its processor carries: one
//! client account that sends most of its requests by one connection address, or a small VM among
//! large ones. What it reads has waited for long by then, and so will its answers: requests end
//! late at a router while others are idle. How long is seen by the round trips of small calls
//! to other routers, which wait in the same queues. A router behind takes no new callers, gives its
//! kept ones up, and counts the wait into the time that requests have.
//!
//! One call that takes long says little: its peer may be dead or slow. So the quickest of some
//! calls in a row counts, which go to several routers.

use crate::Time;

/// Round trips that are looked at.
const SAMPLES: usize = 3;

/// Round trip from which on a router is behind, in milliseconds: of the order of the shortest times
/// in which answers are on time.
const OVERLOADED_MS: u64 = 150;

/// Round trip below which it has caught up, in milliseconds.
const RECOVERED_MS: u64 = 60;

/// Age of a round trip that says nothing any more, in milliseconds.
const MAX_AGE_MS: u64 = 3_000;

/// Round trips of a router's small calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct OverloadDetector {
    samples: [Option<(Time, u64)>; SAMPLES],
    next: usize,
    is_overloaded: bool,
}

impl OverloadDetector {
    /// Takes a round trip in; one without an answer counts as the time that was waited.
    pub fn record_round_trip(&mut self, now: Time, round_trip_ms: u64) {
        self.samples[self.next] = Some((now, round_trip_ms));
        self.next = (self.next + 1) % SAMPLES;
        let delay_ms = self.queueing_delay_ms(now);
        let threshold = if self.is_overloaded {
            RECOVERED_MS
        } else {
            OVERLOADED_MS
        };
        self.is_overloaded = delay_ms >= threshold;
    }

    /// Returns how long a small message waits on its way, in milliseconds: the quickest round trip
    /// of late; none while too few are known.
    pub fn queueing_delay_ms(&self, now: Time) -> u64 {
        let recent = |(at, ms): (Time, u64)| (now.millis_since(at) < MAX_AGE_MS).then_some(ms);
        let recent_samples = self.samples.iter().map(|s| s.and_then(recent));
        recent_samples.min().flatten().unwrap_or_default()
    }

    /// Returns whether what comes is more than this router carries.
    pub fn is_overloaded(&self, now: Time) -> bool {
        self.is_overloaded && self.queueing_delay_ms(now) > 0
    }
}
