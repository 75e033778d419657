//! The trial of a request while it is not known whether its target died.

use std::rc::Weak;

use crate::prelude::*;
use crate::quarantine::TrialGuard;

/// The trial that a request has, if any.
pub(super) type TrialSlot = RefCell<Option<TrialGuard>>;

/// A trial taken from its request, so that neither another copy nor the request itself is sent.
pub(super) struct HeldTrial {
    guard: TrialGuard,
    slot: Weak<TrialSlot>,
}

impl HeldTrial {
    /// Takes the trial out of a slot, if there is one.
    pub fn take(slot: &Rc<TrialSlot>) -> Option<Self> {
        let guard = slot.take()?;
        let slot = Rc::downgrade(slot);
        Some(Self { guard, slot })
    }

    /// Returns the trial to its request, which may be sent again; ends it if the request is over.
    pub fn return_to_request(self) {
        if let Some(slot) = self.slot.upgrade() {
            slot.replace(Some(self.guard));
        }
    }

    /// Ends the trial because its target died, or does not respond.
    pub fn end_by_loss(self) {
        self.guard.end_by_loss();
    }
}
