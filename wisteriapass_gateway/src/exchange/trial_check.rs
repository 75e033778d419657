//! Trials: a fingerprint of which one more death bans all copies is sent one copy at a time.

use smallvec::SmallVec;
use wisteriapass_coord::quarantine::Fingerprint;

use super::attempt::ProxiedRequest;
use super::held_trial::HeldTrials;
use super::history::AttemptHistory;
use crate::prelude::*;
use crate::relays::begin_trial;

impl ProxiedRequest {
    /// Refuses the request if another copy of a suspect is in its trial here, without asking a relay.
    pub fn check_trial(&self, history: &AttemptHistory) -> Result<(), Refusal> {
        match self.taken_suspect() {
            Some(suspect) => Err(self.trial_refusal(history, &suspect)),
            None => Ok(()),
        }
    }

    /// Returns a suspect of which another copy is in its trial here, if there is one.
    pub(super) fn taken_suspect(&self) -> Option<Fingerprint> {
        let mut suspects = self.suspects().into_iter();
        suspects.find(|suspect| self.gw.trials.is_taken(suspect))
    }

    /// Begins a trial of each suspect, and refuses the request if another copy is in one.
    pub(super) async fn begin_trials(&self, history: &AttemptHistory) -> Result<(), Refusal> {
        for suspect in self.suspects() {
            let beginning = begin_trial(&self.gw, suspect, self.plan.deadline);
            let begun = self.gw.run_unless_aborted(beginning).await;
            let Some(guard) = begun.ok_or_else(|| history.stopping_refusal())? else {
                return Err(self.trial_refusal(history, &suspect));
            };
            log::info!(
                target: "quarantine",
                "Trial begins. request={} fingerprint={suspect} prompt_part={}",
                self.metadata.id_text(),
                self.part_text(&suspect)
            );
            self.trials.borrow_mut().push(guard);
        }
        Ok(())
    }

    /// Returns whether the request may only be sent in a trial that it does not have.
    pub(super) fn needs_trial(&self) -> bool {
        !self.suspects().is_empty()
    }

    /// Returns whether the request has a trial.
    pub(super) fn is_trial(&self) -> bool {
        !self.trials.borrow().is_empty()
    }

    /// Takes the trials from the request until it is known whether its target died.
    pub(super) fn hold_trials(&self) -> HeldTrials {
        HeldTrials::take(&self.trials)
    }

    /// Ends the trials of the prompt's parts, also while the answer goes on.
    pub(super) fn end_part_trials(&self) {
        let whole = self.fingerprint();
        let mut trials = self.trials.borrow_mut();
        trials.retain(|trial| trial.fingerprint() == whole);
    }

    /// Returns the fingerprints that may only be sent in a trial, which the request does not have.
    fn suspects(&self) -> SmallVec<[Fingerprint; 4]> {
        if self.gw.quarantine.is_empty() {
            return SmallVec::new();
        }
        let trials = self.trials.borrow();
        let has_trial = |f: &Fingerprint| trials.iter().any(|t| t.fingerprint() == *f);
        let suspects = self.fingerprints().iter();
        let suspects = suspects.filter(|f| !has_trial(f) && self.verdict(f).needs_trial());
        suspects.copied().collect()
    }

    fn trial_refusal(&self, history: &AttemptHistory, suspect: &Fingerprint) -> Refusal {
        log::info!(
            target: "quarantine",
            "Held back. request={} fingerprint={suspect} prompt_part={} sent_before={}",
            self.metadata.id_text(),
            self.part_text(suspect),
            history.sent
        );
        history.refuse_unless_run(Refusal::Suspect)
    }
}
