//! Wall-clock time, for deadlines that are sent to other processes.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use wisteriapass_coord::Millis;

/// Returns the current wall-clock time.
pub fn now() -> Millis {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis(millis(since_epoch))
}

/// Returns the wall-clock time of an instant; an instant in the past counts as now.
pub fn wall_time_of(instant: Instant) -> Millis {
    now().plus(millis(instant.saturating_duration_since(Instant::now())))
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
