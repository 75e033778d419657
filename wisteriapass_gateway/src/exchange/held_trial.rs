//! The trials of a request while it is not known whether its target died.

use std::rc::Weak;

use smallvec::SmallVec;

use crate::prelude::*;
use crate::quarantine::TrialGuard;

/// The trials of a request: one for each of its fingerprints that is a suspect.
pub(super) type TrialGuards = SmallVec<[TrialGuard; 1]>;

/// The trials that a request has, if any.
pub(super) type TrialSlot = RefCell<TrialGuards>;

/// Trials taken from their request, so that neither another copy nor the request itself is sent.
pub(super) struct HeldTrials {
    guards: TrialGuards,
    slot: Weak<TrialSlot>,
}

impl HeldTrials {
    /// Takes the trials out of a slot.
    pub fn take(slot: &Rc<TrialSlot>) -> Self {
        Self {
            guards: slot.take(),
            slot: Rc::downgrade(slot),
        }
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.guards.is_empty()
    }

    /// Returns the trials to their request, which may be sent again; ends them if the request is over.
    pub fn return_to_request(self) {
        if let Some(slot) = self.slot.upgrade() {
            slot.borrow_mut().extend(self.guards);
        }
    }

    /// Ends the trials because their target died, or does not respond.
    pub fn end_by_loss(self) {
        self.guards.into_iter().for_each(TrialGuard::end_by_loss);
    }
}
