//! The platform's VM list, which shows each change only after a lag.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// What the platform knows of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It will be taken away.
    Leaving,
    /// It was taken away and never comes back.
    Gone,
}

/// One line of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub vm: String,
    /// What the list says of it.
    pub state: VmState,
}

/// A state and when the list begins to show it.
#[derive(Clone, Copy, Debug)]
struct Change {
    visible_at: Instant,
    state: VmState,
}

/// The list with the changes it does not show yet.
pub(super) struct VmList {
    lag: Duration,
    changes: Mutex<BTreeMap<String, Vec<Change>>>,
}

impl VmList {
    /// Creates an empty list.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            changes: Mutex::default(),
        }
    }

    /// Sets the state of a VM. The first state of a VM shows at once.
    pub fn set(&self, vm: &str, state: VmState) {
        let now = Instant::now();
        let mut changes = self.changes.lock();
        let of_vm = changes.entry(vm.to_owned()).or_default();
        let visible_at = if of_vm.is_empty() {
            now
        } else {
            now + self.lag
        };
        of_vm.push(Change { visible_at, state });
    }

    /// Returns what the list shows at `now`.
    pub fn visible(&self, now: Instant) -> Vec<Vm> {
        let changes = self.changes.lock();
        changes
            .iter()
            .filter_map(|(vm, of_vm)| {
                let last = of_vm.iter().rev().find(|c| c.visible_at <= now)?;
                Some(Vm {
                    vm: vm.clone(),
                    state: last.state,
                })
            })
            .collect()
    }
}
