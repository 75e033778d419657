//! The trials of suspects that this router runs itself or granted to other routers.

use std::net::SocketAddr;

use smallvec::SmallVec;
use tokio::sync::Notify;
use wisteriapass_coord::quarantine::{Admission, Fingerprint, TrialEnd, Trials};

use crate::prelude::*;

/// A trial of this router that has ended, and the relays that have to know of it.
#[derive(Clone, Debug)]
pub struct EndedTrial {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Id of its copy.
    pub id: u64,
    /// How it ended.
    pub end: TrialEnd,
    /// Relays that were asked for the trial, whether they answered or not.
    pub asked: SmallVec<[SocketAddr; 2]>,
}

/// The trials of one router.
#[derive(Debug)]
pub struct SharedTrials {
    clock: Clock,
    trials: RefCell<Trials>,
    ended: RefCell<Vec<EndedTrial>>,
    /// Wakes the task that tells relays of ended trials.
    pub has_ended: Notify,
}

impl SharedTrials {
    /// Creates an empty table.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            trials: RefCell::default(),
            ended: RefCell::default(),
            has_ended: Notify::new(),
        }
    }

    /// Begins a trial that lasts for `ms` milliseconds at most.
    pub fn begin(&self, fingerprint: Fingerprint, id: u64, ms: u64) -> Admission {
        let now_ms = self.clock.now_ms();
        let deadline = now_ms.saturating_add(ms);
        let mut trials = self.trials.borrow_mut();
        trials.begin(now_ms, fingerprint, id, deadline)
    }

    /// Returns whether another copy is in its trial, as far as this router knows.
    pub fn is_taken(&self, fingerprint: &Fingerprint) -> bool {
        let trials = self.trials.borrow();
        trials.is_taken(self.clock.now_ms(), fingerprint)
    }

    /// Ends a trial in this table.
    pub fn end(&self, fingerprint: Fingerprint, id: u64, end: TrialEnd) {
        let mut trials = self.trials.borrow_mut();
        trials.end(self.clock.now_ms(), fingerprint, id, end);
    }

    /// Ends a trial of this router, also at the relays that were asked for it.
    pub fn give_back(&self, ended: EndedTrial) {
        self.end(ended.fingerprint, ended.id, ended.end);
        if !ended.asked.is_empty() {
            self.ended.borrow_mut().push(ended);
            self.has_ended.notify_one();
        }
    }

    /// Returns the ended trials that relays have not been told of.
    pub fn take_ended(&self) -> Vec<EndedTrial> {
        self.ended.take()
    }
}
