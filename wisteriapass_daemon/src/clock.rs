//! The wall clock, for deadlines that other processes read.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use wisteriapass_coord::Millis;

/// Returns the time now.
pub fn now() -> Millis {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis(millis(since))
}

/// Returns the wall-clock time of an instant, now at the earliest.
pub fn wall_time_of(instant: Instant) -> Millis {
    now().plus(millis(instant.saturating_duration_since(Instant::now())))
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
