//! Wall clock of the stand-ins.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
