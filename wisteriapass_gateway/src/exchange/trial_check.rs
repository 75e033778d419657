//! Trials: a request of which one more death bans all copies is sent one copy at a time.

use super::attempt::ProxiedRequest;
use super::held_trial::HeldTrial;
use super::history::AttemptHistory;
use crate::prelude::*;
use crate::relays::begin_trial;

impl ProxiedRequest {
    /// Refuses the request if another copy of it is in its trial here, without asking a relay.
    pub fn check_trial(&self, history: &AttemptHistory) -> Result<(), Refusal> {
        if self.needs_trial() && self.gw.trials.is_taken(&self.fingerprint()) {
            return Err(self.trial_refusal(history));
        }
        Ok(())
    }

    /// Begins a trial if the request needs one, and refuses it if another copy is in its trial.
    pub(super) async fn begin_trial(&self, history: &AttemptHistory) -> Result<(), Refusal> {
        if !self.needs_trial() {
            return Ok(());
        }
        let beginning = begin_trial(&self.gw, self.fingerprint(), self.plan.deadline);
        let begun = self.gw.run_unless_aborted(beginning).await;
        let Some(guard) = begun.ok_or_else(|| history.stopping_refusal())? else {
            return Err(self.trial_refusal(history));
        };
        log::info!(
            target: "quarantine",
            "Trial begins. request={} fingerprint={}",
            self.metadata.id_text(),
            self.fingerprint()
        );
        self.trial.replace(Some(guard));
        Ok(())
    }

    /// Returns whether the request may only be sent as a trial, which it does not have.
    pub(super) fn needs_trial(&self) -> bool {
        if self.gw.quarantine.is_empty() || self.trial.borrow().is_some() {
            return false;
        }
        let verdict = self.gw.quarantine.verdict(&self.fingerprint());
        verdict.needs_trial()
    }

    /// Takes the trial from the request until it is known whether its target died.
    pub(super) fn hold_trial(&self) -> Option<HeldTrial> {
        HeldTrial::take(&self.trial)
    }

    fn trial_refusal(&self, history: &AttemptHistory) -> Refusal {
        log::info!(
            target: "quarantine",
            "Held back. request={} fingerprint={} sent_before={}",
            self.metadata.id_text(),
            self.fingerprint(),
            history.sent
        );
        history.refuse_unless_run(Refusal::Suspect)
    }
}
