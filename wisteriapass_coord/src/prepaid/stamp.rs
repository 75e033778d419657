//! When a record was composed, by two clocks of one VM.

use serde::{Deserialize, Serialize};

/// Disagreement of the two clocks from which on neither is believed, in milliseconds; above what
/// reading them one after the other can differ, far below the steps of a clock that was set.
pub(super) const AGREE_MS: u64 = 100;

/// Two readings taken together, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct Stamp {
    /// Time since the VM started, suspended time included.
    pub since_boot: u64,
    /// Time of day.
    pub time_of_day: u64,
}

impl Stamp {
    /// Returns the milliseconds since an earlier stamp of the same VM, if both clocks agree on
    /// them: a clock that was set, or a VM that started anew, makes them differ.
    pub fn since(&self, earlier: Stamp) -> Option<u64> {
        let boot = self.since_boot.checked_sub(earlier.since_boot)?;
        let day = self.time_of_day.checked_sub(earlier.time_of_day)?;
        (boot.abs_diff(day) <= AGREE_MS).then_some(boot.max(day))
    }

    /// Returns the milliseconds since an earlier stamp by the time of day alone, which holds over
    /// a loss of power; `None` if they would be negative.
    pub fn since_by_day(&self, earlier: Stamp) -> Option<u64> {
        (self.time_of_day + AGREE_MS)
            .checked_sub(earlier.time_of_day)
            .map(|ms| ms.saturating_sub(AGREE_MS))
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
