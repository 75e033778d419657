//! Faults that the simulated targets inject.

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Whether accepted calls are answered, and whether unanswered calls run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Silence {
    /// Calls are answered.
    #[default]
    None,
    /// Calls neither run nor are answered.
    BeforeRun,
    /// Calls run but are not answered.
    AfterStart,
}

/// Faults of a target, as the body of `POST /faults`. A missing key means that the fault is off.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetFaults {
    /// Factor applied to each delay.
    pub slow_factor: f64,
    /// Whether accepted calls are answered.
    pub silence: Silence,
    /// Number of chunks after which each answer stops while its run continues.
    pub silent_after: Option<usize>,
    /// Delay of each answer's first byte after the end of its run, in milliseconds.
    pub late_ms: u64,
    /// Number of upcoming calls that get the answer of another request.
    pub crossed: u32,
    /// Number of upcoming calls that are refused with status 500 and do not run.
    pub errors: u32,
    /// Number of upcoming calls whose connection closes without an answer after their run started.
    pub resets: u32,
    /// Number of upcoming answers whose connection closes halfway.
    pub cuts: u32,
}

impl Default for TargetFaults {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            silence: Silence::None,
            silent_after: None,
            late_ms: 0,
            crossed: 0,
            errors: 0,
            resets: 0,
            cuts: 0,
        }
    }
}

/// The active faults of one target.
#[derive(Default)]
pub(crate) struct FaultSwitches {
    faults: Mutex<TargetFaults>,
}

impl FaultSwitches {
    /// Replaces the faults.
    pub fn set(&self, faults: TargetFaults) {
        *self.faults.lock() = faults;
    }

    /// Returns the active faults.
    pub fn get(&self) -> TargetFaults {
        self.faults.lock().clone()
    }

    /// Decrements the number of crossed answers; returns `false` if it was zero.
    pub fn consume_crossed(&self) -> bool {
        decrement(&mut self.faults.lock().crossed)
    }

    /// Decrements the number of errors; returns `false` if it was zero.
    pub fn consume_error(&self) -> bool {
        decrement(&mut self.faults.lock().errors)
    }

    /// Decrements the number of cut answers; returns `false` if it was zero.
    pub fn consume_cut(&self) -> bool {
        decrement(&mut self.faults.lock().cuts)
    }

    /// Decrements the number of reset connections; returns `false` if it was zero.
    pub fn consume_reset(&self) -> bool {
        decrement(&mut self.faults.lock().resets)
    }
}

/// Decrements a counter; returns `false` if it was zero.
fn decrement(count: &mut u32) -> bool {
    let was_positive = *count > 0;
    *count = count.saturating_sub(1);
    was_positive
}
