//! Rest that targets ask for, and when callers come back while all targets rest.
//!
//! A target under pressure turns requests away and states for how long it wants none. If it gets
//! some nevertheless, it turns them away as well, and callers have spent an attempt for nothing. If
//! all targets of a service rest, callers that are told the same moment arrive together at the
//! first target that is back.

/// Longest rest, in milliseconds. A longer one is a mistake, which must not take a target out of
/// service for good.
const MAX_REST_MS: u64 = 600_000;

/// Fraction of the remaining rest over which the return of callers is spread.
const SPREAD_FRACTION: f64 = 0.25;

/// Shortest time over which their return is spread, in milliseconds.
const MIN_SPREAD_MS: f64 = 200.0;

/// Returns for how long a target rests that asks for `asked_ms`, in milliseconds.
pub fn rest_ms(asked_ms: u64) -> u64 {
    asked_ms.min(MAX_REST_MS)
}

/// Returns after how many milliseconds a caller should come back if the first target is back in
/// `first_back_ms`; `position` is the caller's place among others, from 0 to 1.
pub fn retry_after_ms(first_back_ms: u64, position: f64) -> u64 {
    let spread_ms = (first_back_ms as f64 * SPREAD_FRACTION).max(MIN_SPREAD_MS);
    first_back_ms + (spread_ms * position) as u64
}
