//! The trials that a router knows: at most one copy of each suspect is in flight.

use std::collections::BTreeMap;

use super::trial::Trial;
use super::{Admission, Fingerprint, MAX_TRIAL_MS, MAX_TRIALS, TRIAL_PAUSE_MS, TrialEnd};

/// Trials of suspects by fingerprint.
///
/// A trial ends when it is given back or at its deadline, so a lost message or a dead router holds
/// a suspect back for a limited time only.
#[derive(Clone, Debug, Default)]
pub struct Trials {
    trials: BTreeMap<Fingerprint, Trial>,
}

impl Trials {
    /// Begins a trial that lasts until it is ended, or until `deadline`, which is capped.
    ///
    /// Repeating the call of a copy that has the trial grants it again, as an answer may be lost.
    /// A full table refuses.
    pub fn begin(
        &mut self,
        now: u64,
        fingerprint: Fingerprint,
        id: u64,
        deadline: u64,
    ) -> Admission {
        if let Some(trial) = self.current(now, &fingerprint) {
            let is_same = trial.id == Some(id);
            return if is_same {
                Admission::Granted
            } else {
                Admission::Refused
            };
        }
        self.discard_expired_if_full(now);
        if self.trials.len() >= MAX_TRIALS {
            return Admission::Refused;
        }
        let trial = Trial {
            id: Some(id),
            until: deadline.min(now + MAX_TRIAL_MS),
        };
        self.trials.insert(fingerprint, trial);
        Admission::Granted
    }

    /// Ends a trial, unless another copy has it by now.
    ///
    /// If the target may have died, the next trial has to wait: it would end its target within the same
    /// event, which does not count, and other routers may not know of this death yet.
    pub fn end(&mut self, now: u64, fingerprint: Fingerprint, id: u64, end: TrialEnd) {
        let Some(trial) = self.trials.get_mut(&fingerprint) else {
            return;
        };
        if trial.id != Some(id) {
            return;
        }
        match end {
            TrialEnd::Over => {
                self.trials.remove(&fingerprint);
            }
            TrialEnd::TargetLost => {
                trial.id = None;
                trial.until = now + TRIAL_PAUSE_MS;
            }
        }
    }

    /// Returns whether a copy would have to wait now.
    pub fn is_taken(&self, now: u64, fingerprint: &Fingerprint) -> bool {
        self.current(now, fingerprint).is_some()
    }

    /// Returns the number of trials in the table, including expired ones.
    pub fn len(&self) -> usize {
        self.trials.len()
    }

    /// Returns whether the table has no trials.
    pub fn is_empty(&self) -> bool {
        self.trials.is_empty()
    }

    fn current(&self, now: u64, fingerprint: &Fingerprint) -> Option<Trial> {
        let known = self.trials.get(fingerprint).copied();
        known.filter(|trial| now < trial.until)
    }

    fn discard_expired_if_full(&mut self, now: u64) {
        if self.trials.len() >= MAX_TRIALS {
            self.trials.retain(|_, trial| now < trial.until);
        }
    }
}
