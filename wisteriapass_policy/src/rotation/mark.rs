//! Marks of routers that were crowded.

use super::MarkAge;
use crate::Time;

/// Duration of a router's first mark, in milliseconds. An account keeps sending for longer than
/// this, and its callers are late for some seconds whenever it gets to try a weak router again.
const FIRST_MS: u64 = 60_000;

/// Longest duration of a mark, in milliseconds, and the time after a mark in which the next one is
/// a repetition.
const LONGEST_MS: u64 = 600_000;

/// The last mark of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
    began: Time,
    length_ms: u64,
}

impl Mark {
    /// Creates a mark that begins now; it lasts twice as long as the previous one, if that ended a
    /// short time ago.
    pub fn new(now: Time, previous: Option<Self>) -> Self {
        let repeated = previous.filter(|p| now < p.end().plus_millis(LONGEST_MS));
        let length_ms = repeated.map_or(FIRST_MS, |p| (2 * p.length_ms).min(LONGEST_MS));
        Self {
            began: now,
            length_ms,
        }
    }

    /// Returns a mark that a router reported.
    pub fn from_age(now: Time, age: MarkAge) -> Self {
        let age_us = age.age_ms.saturating_mul(1_000);
        Self {
            began: Time(now.0.saturating_sub(age_us)),
            length_ms: age.length_ms.min(LONGEST_MS),
        }
    }

    /// Returns the mark for a message.
    pub fn age(&self, now: Time) -> MarkAge {
        MarkAge {
            age_ms: now.millis_since(self.began),
            length_ms: self.length_ms,
        }
    }

    /// Returns whether the router is still marked.
    pub fn is_active(&self, now: Time) -> bool {
        now < self.end()
    }

    /// Returns the later of two marks.
    pub fn later(self, other: Self) -> Self {
        if other.began > self.began {
            other
        } else {
            self
        }
    }

    fn end(&self) -> Time {
        self.began.plus_millis(self.length_ms)
    }
}
