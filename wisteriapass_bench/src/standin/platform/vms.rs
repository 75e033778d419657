//! The platform's VM list, in which changes become visible after a delay.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// State of a VM as the platform reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM will be removed.
    Leaving,
    /// The VM was removed and will not return.
    Gone,
}

/// An entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub vm: String,
    /// Reported state of the VM.
    pub state: VmState,
}

/// A state of a VM and the time from which the list shows it.
#[derive(Clone, Copy, Debug)]
struct Change {
    visible_at: Instant,
    state: VmState,
}

/// The VM list, including changes that are not visible yet.
pub(super) struct VmList {
    delay: Duration,
    changes: Mutex<BTreeMap<String, Vec<Change>>>,
}

impl VmList {
    /// Creates an empty list.
    pub fn new(delay: Duration) -> Self {
        Self {
            delay,
            changes: Mutex::default(),
        }
    }

    /// Sets the state of a VM. The first state of a VM is visible immediately.
    pub fn set(&self, vm: &str, state: VmState) {
        let now = Instant::now();
        let mut changes = self.changes.lock();
        let vm_changes = changes.entry(vm.to_owned()).or_default();
        let visible_at = if vm_changes.is_empty() {
            now
        } else {
            now + self.delay
        };
        vm_changes.push(Change { visible_at, state });
    }

    /// Returns the entries that are visible at `now`.
    pub fn visible(&self, now: Instant) -> Vec<Vm> {
        let changes = self.changes.lock();
        changes
            .iter()
            .filter_map(|(vm, vm_changes)| {
                let latest = vm_changes.iter().rev().find(|c| c.visible_at <= now)?;
                Some(Vm {
                    vm: vm.clone(),
                    state: latest.state,
                })
            })
            .collect()
    }
}
