//! Detects whether a router is overloaded.
//!
//! Handles callers that load one router beyond the capacity of its link or its CPU: a client
//! account that sends most of its requests over one connection address, or a small VM among large
//! ones. Requests then wait long before they are read, and so do their answers, so requests finish
//! late at this router while others are idle. The delay is measured by the round trips of small
//! calls to other routers, which wait in the same queues. An overloaded router accepts no new
//! callers, closes its keep-alive connections, and subtracts the delay from the time that requests
//! have left.
//!
//! A single slow call means little, since its peer may be dead or slow. The shortest of several
//! consecutive calls to different routers counts.

use crate::Time;

/// Number of round trips considered.
const SAMPLES: usize = 3;

/// Round trip from which a router is overloaded, in milliseconds; of the order of the shortest
/// latency goals.
const OVERLOADED_MS: u64 = 150;

/// Round trip below which a router has recovered, in milliseconds.
const RECOVERED_MS: u64 = 60;

/// Age from which a round trip is ignored, in milliseconds.
const MAX_AGE_MS: u64 = 3_000;

/// Recent round trips of a router's small calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct OverloadDetector {
    samples: [Option<(Time, u64)>; SAMPLES],
    next: usize,
    is_overloaded: bool,
}

impl OverloadDetector {
    /// Records a round trip; a call without an answer counts with the time waited for it.
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

    /// Returns the queueing delay of a small message, in milliseconds: the shortest recent round
    /// trip, or zero while too few are known.
    pub fn queueing_delay_ms(&self, now: Time) -> u64 {
        let recent = |(at, ms): (Time, u64)| (now.millis_since(at) < MAX_AGE_MS).then_some(ms);
        let recent_samples = self.samples.iter().map(|s| s.and_then(recent));
        recent_samples.min().flatten().unwrap_or_default()
    }

    /// Returns whether the load exceeds the capacity of this router.
    pub fn is_overloaded(&self, now: Time) -> bool {
        self.is_overloaded && self.queueing_delay_ms(now) > 0
    }
}
