//! Time at which a record was composed, by two clocks of one VM.

use serde::{Deserialize, Serialize};

/// Difference between the clocks above which neither is trusted, in milliseconds. It is larger than
/// the delay between reading one clock and the other, and much smaller than the jump of a clock
/// that was set.
pub(super) const CLOCK_TOLERANCE_MS: u64 = 100;

/// Readings of both clocks taken together, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct Stamp {
    /// Time since the VM started, including suspended time.
    pub since_boot: u64,
    /// Time of day.
    pub time_of_day: u64,
}

impl Stamp {
    /// Returns the milliseconds since an earlier stamp of the same VM; `None` if the clocks
    /// disagree, because one was set or the VM was restarted.
    pub fn since(&self, earlier: Stamp) -> Option<u64> {
        let boot = self.since_boot.checked_sub(earlier.since_boot)?;
        let day = self.time_of_day.checked_sub(earlier.time_of_day)?;
        (boot.abs_diff(day) <= CLOCK_TOLERANCE_MS).then_some(boot.max(day))
    }

    /// Returns the milliseconds since an earlier stamp by the time of day alone, which survives a
    /// power loss; `None` if it is behind the earlier one by more than the tolerance.
    pub fn since_by_time_of_day(&self, earlier: Stamp) -> Option<u64> {
        (self.time_of_day + CLOCK_TOLERANCE_MS)
            .checked_sub(earlier.time_of_day)
            .map(|ms| ms.saturating_sub(CLOCK_TOLERANCE_MS))
    }
}

impl From<(u64, u64)> for Stamp {
    fn from((since_boot, time_of_day): (u64, u64)) -> Self {
        Self {
            since_boot,
            time_of_day,
        }
    }
}

impl From<Stamp> for (u64, u64) {
    fn from(stamp: Stamp) -> Self {
        (stamp.since_boot, stamp.time_of_day)
    }
}
