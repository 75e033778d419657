//! A run whose connection broke, until it is known what became of its target.

use tokio::time::sleep;

use super::held_trial::HeldTrials;
use super::quarantine_check::ConnectionBreak;
use crate::prelude::*;
use crate::quarantine::ProbeResult;
use crate::rpc::deadline_in;
use crate::target::TargetKey;

/// Time for which trials are held while its target resets connections or does not respond, in
/// milliseconds: a process that is terminating may do so before it refuses connections.
const WATCH_MS: u64 = 2_000;

/// Pause between two probes of such a target, in milliseconds.
const WATCH_PAUSE_MS: u64 = 50;

/// A run whose connection broke.
pub(super) struct BrokenRun {
    target: TargetKey,
    /// The death to be recorded if the target is gone.
    connection_break: Option<ConnectionBreak>,
    trials: HeldTrials,
}

impl BrokenRun {
    /// Creates a run of whose target nothing is known.
    pub fn new(
        target: TargetKey,
        connection_break: Option<ConnectionBreak>,
        trials: HeldTrials,
    ) -> Self {
        Self {
            target,
            connection_break,
            trials,
        }
    }

    /// Records what was found of the target; returns the run if that does not settle its trials.
    pub fn settle(self, gw: &Gateway, found: ProbeResult) -> Option<Self> {
        match found {
            ProbeResult::Gone => {
                if let Some(connection_break) = &self.connection_break {
                    connection_break.record_death(gw);
                }
                self.trials.end_by_loss();
                None
            }
            ProbeResult::Alive => {
                self.trials.return_to_request();
                None
            }
            ProbeResult::Saturated | ProbeResult::Unresponsive => {
                (!self.trials.is_empty()).then_some(self)
            }
        }
    }

    /// Probes the target until its state is known, or for long enough to give it up.
    pub async fn watch(mut self, gw: Rc<Gateway>) {
        let until = deadline_in(WATCH_MS);
        while Instant::now() < until {
            sleep(Duration::from_millis(WATCH_PAUSE_MS)).await;
            let found = gw.probes.find_state(&gw, self.target).await;
            let Some(unsettled) = self.settle(&gw, found) else {
                return;
            };
            self = unsettled;
        }
        self.trials.end_by_loss();
    }
}
