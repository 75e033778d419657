//! Fault switches of the targets' stand-ins.

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Whether accepted calls are answered at all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Silence {
    /// They are answered.
    #[default]
    None,
    /// They do not run and are never answered.
    BeforeRun,
    /// They run and are never answered.
    AfterStart,
}

/// Faults of a target, as `POST /faults` takes them; keys left out are without fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetFaults {
    /// Factor on each delay.
    pub slow_factor: f64,
    /// Whether accepted calls are answered.
    pub silence: Silence,
    /// Pieces after which each answer goes silent while its run goes on.
    pub silent_after: Option<usize>,
    /// Time by which the first byte of each answer comes later than its run, in milliseconds.
    pub late_ms: u64,
    /// Number of coming calls answered with another request's answer.
    pub crossed: u32,
    /// Number of coming calls refused with status 500, without a run.
    pub errors: u32,
    /// Number of coming calls whose connection closes after their run began, without an answer.
    pub resets: u32,
    /// Number of coming answers whose connection closes in their middle.
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

/// The faults in force at one target.
#[derive(Default)]
pub(crate) struct Switches {
    faults: Mutex<TargetFaults>,
}

impl Switches {
    /// Replaces the faults.
    pub fn set(&self, faults: TargetFaults) {
        *self.faults.lock() = faults;
    }

    /// Returns the faults in force.
    pub fn get(&self) -> TargetFaults {
        self.faults.lock().clone()
    }

    /// Uses up one crossed answer, if one is due.
    pub fn take_crossed(&self) -> bool {
        take(&mut self.faults.lock().crossed)
    }

    /// Uses up one refusal, if one is due.
    pub fn take_error(&self) -> bool {
        take(&mut self.faults.lock().errors)
    }

    /// Uses up one cut answer, if one is due.
    pub fn take_cut(&self) -> bool {
        take(&mut self.faults.lock().cuts)
    }

    /// Uses up one closed connection, if one is due.
    pub fn take_reset(&self) -> bool {
        take(&mut self.faults.lock().resets)
    }
}

/// Counts one down; `false` at zero.
fn take(count: &mut u32) -> bool {
    let is_due = *count > 0;
    *count = count.saturating_sub(1);
    is_due
}
