//! Clocks of a process: monotonic time for deadlines, boot time and time of day for stamps.

use std::time::{SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;
use wisteriapass_coord::prepaid::Stamp;

/// Clock of one process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock whose monotonic time starts now.
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the milliseconds since the clock was created; time in suspend does not count.
    pub fn now_ms(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }

    /// Returns a stamp of boot time and time of day.
    pub fn stamp(&self) -> Stamp {
        let day = SystemTime::now().duration_since(UNIX_EPOCH);
        Stamp {
            since_boot: since_boot_ms(),
            time_of_day: day.map_or(0, |d| d.as_millis() as u64),
        }
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the milliseconds since the VM booted, including time in suspend; 0 if the system does
/// not provide them. A stamp with 0 proves nothing to a successor and unseals no share.
fn since_boot_ms() -> u64 {
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME);
    now.map_or(0, |t| {
        t.tv_sec() as u64 * 1_000 + t.tv_nsec() as u64 / 1_000_000
    })
}
