//! Limits requests to a target to the rate that it names, across all routers, without coordination
//! per request.
//!
//! A target in need names how many requests per second it takes from all routers together. If each
//! router heeded that alone, the target would get a multiple of it. So the requests that the target
//! takes in a few seconds are divided among the relays in its rendezvous order. Relays without a
//! quota learn from rare probes that the limit has ended; other routers learn it from a relay.

use crate::Time;
use crate::rendezvous::position;
use crate::send_log::{MAX_WINDOW_MS, SendLog};

/// Window for the quotas, in milliseconds. It is longer than the few seconds over which targets
/// measure their load, by the amount by which requests may move closer in transit.
const WINDOW_MS: u64 = 4_500;

/// Shortest interval between two probes of a relay without a quota, in milliseconds.
const MIN_PROBE_INTERVAL_MS: u64 = 10_000;

/// Longest interval between two probes, in milliseconds. A target that takes nothing at all is
/// probed this rarely.
const MAX_PROBE_INTERVAL_MS: u64 = 600_000;

/// Fraction of a target's limit that the probes of all relays together use.
const PROBE_FRACTION: f64 = 0.25;

/// Rate that a target named, as one router knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetLimit {
    per_s: f64,
    /// When the target last named it, or a probe was sent.
    checked_at: Time,
}

/// A router among those that may send to a target.
#[derive(Clone, Copy, Debug)]
pub struct Sender<'a> {
    /// Hash of the target's name.
    pub target: u64,
    /// Hash of the router's name.
    pub own_hash: u64,
    /// Hashes of the relays' names; empty if this router is not a relay.
    pub relays: &'a [u64],
}

impl TargetLimit {
    /// Creates a limit of `per_s` requests per second that a target named at `now`.
    pub fn new(per_s: f64, now: Time) -> Self {
        Self {
            per_s,
            checked_at: now,
        }
    }

    /// Returns the limit, in requests per second.
    pub fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Records that a request was sent to the target.
    pub fn record_sent(&mut self, now: Time) {
        self.checked_at = now;
    }

    /// Returns whether a router may send one more request now.
    pub fn may_send(&self, now: Time, log: &SendLog, sender: Sender<'_>) -> bool {
        match self.quota(sender) {
            None => false,
            Some(0) => now.millis_since(self.checked_at) >= self.probe_interval_ms(sender),
            Some(quota) => log.may_send(now, self.window_ms(), quota),
        }
    }

    /// Returns how many requests a relay may send per window; `None` for other routers.
    pub fn quota(&self, sender: Sender<'_>) -> Option<usize> {
        let position = position(sender.target, sender.own_hash, sender.relays)?;
        let relays = sender.relays.len();
        let budget = (self.per_s * self.window_ms() as f64 / 1_000.0) as usize;
        Some(budget / relays + usize::from(position < budget % relays))
    }

    /// Returns the window for the quotas: longer for a target with a very low limit, so that it still
    /// gets requests.
    fn window_ms(&self) -> u64 {
        let one_request_ms = (1_000.0 / self.per_s).ceil();
        (one_request_ms as u64).clamp(WINDOW_MS, MAX_WINDOW_MS)
    }

    /// Returns the interval between two probes. It differs between routers, as they are told at the
    /// same time.
    fn probe_interval_ms(&self, sender: Sender<'_>) -> u64 {
        let of_all_ms = 1_000.0 / (self.per_s * PROBE_FRACTION);
        let spread = 1.0 + sender.own_hash as f64 / u64::MAX as f64;
        let interval_ms = of_all_ms * sender.relays.len() as f64 * spread;
        (interval_ms as u64).clamp(MIN_PROBE_INTERVAL_MS, MAX_PROBE_INTERVAL_MS)
    }
}
