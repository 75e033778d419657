//! Quarantine of requests: checks whether a request is banned, and reports targets that died while
//! running it.

use smallvec::SmallVec;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout_at;
use wisteriapass_coord::quarantine::{Fingerprint, Incarnation, Verdict};

use super::attempt::ProxiedRequest;
use super::broken_run::BrokenRun;
use super::history::AttemptHistory;
use crate::prelude::*;
use crate::quarantine::ProbeResult;
use crate::rpc::deadline_in;
use crate::target::{TargetId, TargetKey};

/// Maximum time that a retry waits for the cause of a broken connection, in milliseconds: many
/// round trips within a region. A target that does not respond for longer is not counted against
/// the request.
const BREAK_CHECK_TIMEOUT_MS: u64 = 100;

/// Returns the state of the target of a connection that ended.
pub type BreakCheck = JoinHandle<ProbeResult>;

/// A request that was running at a target when its connection broke.
pub(super) struct ConnectionBreak {
    at_ms: u64,
    request: String,
    in_flight: SmallVec<[InFlight; 4]>,
    target: TargetId,
    incarnation: Incarnation,
}

/// A fingerprint that may be to blame for the end of a target.
struct InFlight {
    fingerprint: Fingerprint,
    /// Id of the prompt part for logs; `-` for a whole request.
    part: String,
}

/// A ban of a request, or of a part of its prompt.
#[derive(Clone, Copy, Debug)]
struct Ban {
    fingerprint: Fingerprint,
    remaining_ms: u64,
}

impl Ban {
    /// Returns the refusal of a request that has not run.
    fn refusal(self) -> Refusal {
        Refusal::Quarantined {
            retry_after_ms: self.remaining_ms,
        }
    }
}

impl ProxiedRequest {
    /// Returns whether the request, or a part of its prompt, is banned.
    pub fn is_banned(&self) -> bool {
        self.ban().is_some()
    }

    /// Returns the ban that lasts longest, if there is one.
    fn ban(&self) -> Option<Ban> {
        if self.gw.quarantine.is_empty() {
            return None;
        }
        let now_ms = self.gw.clock.now_ms();
        let bans = self.fingerprints().iter().filter_map(|fingerprint| {
            let verdict = self.verdict(fingerprint);
            let until = verdict.banned_until()?;
            Some(Ban {
                fingerprint: *fingerprint,
                remaining_ms: until.saturating_sub(now_ms),
            })
        });
        bans.max_by_key(|ban| ban.remaining_ms)
    }

    /// Returns the verdict on one of the request's fingerprints.
    pub(super) fn verdict(&self, fingerprint: &Fingerprint) -> Verdict {
        let quarantine = &self.gw.quarantine;
        if *fingerprint == self.fingerprint() {
            return quarantine.verdict(fingerprint);
        }
        quarantine.verdict_in(fingerprint, self.fingerprints())
    }

    /// Refuses the request if it, or a part of its prompt, is banned for crashing targets.
    pub fn check_quarantine(&self, history: &AttemptHistory) -> Result<(), Refusal> {
        let Some(ban) = self.ban() else {
            return Ok(());
        };
        log::info!(
            target: "quarantine",
            "Not sent. request={} fingerprint={} prompt_part={} back_ms={} sent_before={}",
            self.metadata.id_text(),
            ban.fingerprint,
            self.part_text(&ban.fingerprint),
            ban.remaining_ms,
            history.sent
        );
        if history.may_have_run {
            return Err(Refusal::OutcomeUnknown);
        }
        Err(ban.refusal())
    }

    /// Returns the refusal of a request that is banned and has not run.
    pub(super) fn ban_refusal(&self) -> Option<Refusal> {
        self.ban().map(Ban::refusal)
    }

    /// Records that the current run shows that no part of the prompt crashes its target, which ends
    /// their trials.
    pub fn record_answer(&self) {
        if self.has_answer.replace(true) {
            return;
        }
        self.end_part_trials();
        let (_, parts) = self.fingerprints().split_at(1);
        for part in parts {
            self.gw.quarantine.record_answer(*part);
        }
    }

    /// Determines why a connection ended that was running this request, and records a death if the
    /// target is gone.
    pub fn check_break(&self, key: TargetKey) -> BreakCheck {
        let connection_break = self.connection_break(key);
        let trials = self.hold_trials();
        let gw = self.gw.clone();
        spawn_local(async move {
            let found = gw.probes.find_state(&gw, key).await;
            let broken = BrokenRun::new(key, connection_break, trials);
            if let Some(unsettled) = broken.settle(&gw, found) {
                spawn_local(unsettled.watch(gw));
            }
            found
        })
    }

    /// Returns the record to be made if the target is gone; `None` for a draining target, which is
    /// expected to end.
    fn connection_break(&self, key: TargetKey) -> Option<ConnectionBreak> {
        let targets = self.gw.targets.borrow();
        let target = targets.get(key)?;
        let entry = &target.entry;
        if !target.is_open(Instant::now()) {
            return None;
        }
        Some(ConnectionBreak {
            at_ms: self.gw.clock.now_ms(),
            request: self.metadata.id_text().to_owned(),
            in_flight: self.in_flight(),
            target: entry.id.clone(),
            incarnation: Incarnation::new(&entry.id.0, entry.started_ms),
        })
    }

    /// Returns the fingerprints that may be to blame if the current run ends with its target: what has
    /// been answered for a while is not due to a part of the prompt.
    fn in_flight(&self) -> SmallVec<[InFlight; 4]> {
        let fingerprints = self.fingerprints();
        let count = if self.has_answer.get() {
            1
        } else {
            fingerprints.len()
        };
        let in_flight = fingerprints[..count].iter().map(|fingerprint| InFlight {
            fingerprint: *fingerprint,
            part: self.part_text(fingerprint),
        });
        in_flight.collect()
    }

    /// Waits until the cause of a broken connection is known, up to a timeout.
    pub async fn await_break_check(&self, break_check: Option<BreakCheck>) {
        if let Some(break_check) = break_check {
            // A result that comes later still counts for the quarantine.
            let _ = timeout_at(
                self.plan.deadline.min(deadline_in(BREAK_CHECK_TIMEOUT_MS)),
                break_check,
            )
            .await;
        }
    }
}

impl ConnectionBreak {
    /// Records that the target died.
    pub(super) fn record_death(&self, gw: &Gateway) {
        for InFlight { fingerprint, part } in &self.in_flight {
            let quarantine = &gw.quarantine;
            let verdict = quarantine.record_death(self.at_ms, *fingerprint, self.incarnation);
            log::info!(
                target: "quarantine",
                "Target died under it. request={} fingerprint={fingerprint} prompt_part={part} \
                 target={} incarnation={} deaths={}",
                self.request, self.target, self.incarnation, verdict.deaths()
            );
        }
    }
}
