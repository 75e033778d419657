//! Measures how much of its link a router uses.
//!
//! Handles links that are slow for the load: a router that fills its link delays all its callers,
//! and round trips show it only once a queue has built up. The bytes that the router itself reads
//! and writes show it within a fraction of a second.

use crate::Time;

/// Length of one interval, in milliseconds.
const INTERVAL_MS: u64 = 50;

/// Number of intervals that are measured together. Half a second is longer than a single large
/// request takes on a slow link, and short enough to move callers before most of them are late.
const INTERVALS: usize = 10;

/// Bytes of an interval, and its number since the origin of time.
#[derive(Clone, Copy, Debug, Default)]
struct Interval {
    number: u64,
    bytes_in: u64,
    bytes_out: u64,
}

/// Bytes that crossed a router's link in the last half second.
///
/// The two directions of a link are independent, so the busier one counts.
#[derive(Clone, Copy, Debug)]
pub struct LinkMeter {
    /// Capacity of each direction, in bytes per millisecond.
    bytes_per_ms: f64,
    intervals: [Interval; INTERVALS],
}

impl LinkMeter {
    /// Creates a meter for a link with this bandwidth in each direction, in Mbit/s.
    pub fn new(link_mbps: f64) -> Self {
        Self {
            bytes_per_ms: link_mbps * 125.0,
            intervals: [Interval::default(); INTERVALS],
        }
    }

    /// Records bytes that were read from the link or written to it.
    pub fn record(&mut self, now: Time, bytes_in: u64, bytes_out: u64) {
        let number = interval_number(now);
        let interval = &mut self.intervals[number as usize % INTERVALS];
        if interval.number != number {
            *interval = Interval {
                number,
                ..Interval::default()
            };
        }
        interval.bytes_in += bytes_in;
        interval.bytes_out += bytes_out;
    }

    /// Returns the used fraction of the link's capacity. Bytes count when the router hands them
    /// over, before they cross the link, so the fraction exceeds 1 while a queue builds up.
    pub fn utilization(&self, now: Time) -> f64 {
        let number = interval_number(now);
        let recent = |i: &&Interval| i.number <= number && i.number + INTERVALS as u64 > number;
        let recent = || self.intervals.iter().filter(recent);
        let bytes_in: u64 = recent().map(|i| i.bytes_in).sum();
        let bytes_out: u64 = recent().map(|i| i.bytes_out).sum();
        let capacity = self.bytes_per_ms * (INTERVALS as u64 * INTERVAL_MS) as f64;
        bytes_in.max(bytes_out) as f64 / capacity
    }
}

fn interval_number(now: Time) -> u64 {
    now.millis_since(Time::default()) / INTERVAL_MS
}
