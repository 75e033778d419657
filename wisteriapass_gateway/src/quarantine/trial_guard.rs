//! The trial that a request of this router has.

use std::net::SocketAddr;

use smallvec::SmallVec;
use wisteriapass_coord::quarantine::{Fingerprint, TrialEnd};

use super::shared_trials::EndedTrial;
use crate::prelude::*;

/// The right to send one copy of a suspect; given back when dropped.
pub struct TrialGuard {
    gw: Rc<Gateway>,
    fingerprint: Fingerprint,
    id: u64,
    asked: SmallVec<[SocketAddr; 2]>,
    end: TrialEnd,
    is_refused: bool,
}

impl TrialGuard {
    /// Creates the guard of a trial that began in this router's own table.
    pub fn new(gw: Rc<Gateway>, fingerprint: Fingerprint, id: u64) -> Self {
        Self {
            gw,
            fingerprint,
            id,
            asked: SmallVec::new(),
            end: TrialEnd::Over,
            is_refused: false,
        }
    }

    /// Returns the fingerprint of the suspect.
    pub fn fingerprint(&self) -> Fingerprint {
        self.fingerprint
    }

    /// Notes a relay that may have granted the trial, so that it is told of the end.
    pub fn record_asked(&mut self, relay: SocketAddr) {
        self.asked.push(relay);
    }

    /// Gives the trial back because the relay that was asked last refused it.
    pub fn refuse(mut self) {
        self.asked.pop();
        self.is_refused = true;
    }

    /// Returns how many relays were asked.
    pub fn asked(&self) -> usize {
        self.asked.len()
    }

    /// Ends the trial because its target died, which has been recorded, or does not respond.
    pub fn end_by_loss(mut self) {
        self.end = TrialEnd::TargetLost;
    }
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        if !self.is_refused {
            log::info!(
                target: "quarantine",
                "Trial over. fingerprint={} lost={}",
                self.fingerprint,
                self.end == TrialEnd::TargetLost
            );
        }
        self.gw.trials.give_back(EndedTrial {
            fingerprint: self.fingerprint,
            id: self.id,
            end: self.end,
            asked: std::mem::take(&mut self.asked),
        });
    }
}

impl std::fmt::Debug for TrialGuard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TrialGuard")
            .field("fingerprint", &self.fingerprint)
            .finish_non_exhaustive()
    }
}
