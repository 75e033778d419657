//! Quarantine of requests: checks whether a request is banned, and reports targets that died while
//! running it.

use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout_at;
use wisteriapass_coord::quarantine::{Fingerprint, Incarnation};

use super::attempt::ProxiedRequest;
use super::broken_run::BrokenRun;
use super::history::AttemptHistory;
use super::plan::host;
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
    fingerprint: Fingerprint,
    target: TargetId,
    incarnation: Incarnation,
}

impl ProxiedRequest {
    /// Returns the fingerprint, which is the same for equal requests.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let outgoing = &self.outgoing;
            let host = host(&outgoing.headers, &outgoing.uri);
            let path = outgoing
                .uri
                .path_and_query()
                .map_or("", |path| path.as_str());
            let account = self.plan.account_name();
            Fingerprint::new(
                outgoing.method.as_str(),
                &host,
                path,
                account,
                &outgoing.body,
            )
        })
    }

    /// Returns the remaining time of the request's ban, in milliseconds; `None` if it is not
    /// banned.
    pub fn ban_remaining_ms(&self) -> Option<u64> {
        if self.gw.quarantine.is_empty() {
            return None;
        }
        let verdict = self.gw.quarantine.verdict(&self.fingerprint());
        let until = verdict.banned_until()?;
        Some(until.saturating_sub(self.gw.clock.now_ms()))
    }

    /// Refuses the request if it is banned for crashing the targets that run it.
    pub fn check_quarantine(&self, history: &AttemptHistory) -> Result<(), Refusal> {
        let Some(back_ms) = self.ban_remaining_ms() else {
            return Ok(());
        };
        log::info!(
            target: "quarantine",
            "Not sent. request={} fingerprint={} back_ms={back_ms} sent_before={}",
            self.metadata.id_text(),
            self.fingerprint(),
            history.sent
        );
        if history.may_have_run {
            return Err(Refusal::OutcomeUnknown);
        }
        Err(Refusal::Quarantined {
            retry_after_ms: back_ms,
        })
    }

    /// Determines why a connection ended that was running this request, and records a death if the
    /// target is gone.
    pub fn check_break(&self, key: TargetKey) -> BreakCheck {
        let connection_break = self.connection_break(key);
        let trial = self.hold_trial();
        let gw = self.gw.clone();
        spawn_local(async move {
            let found = gw.probes.find_state(&gw, key).await;
            let broken = BrokenRun::new(key, connection_break, trial);
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
            fingerprint: self.fingerprint(),
            target: entry.id.clone(),
            incarnation: Incarnation::new(&entry.id.0, entry.started_ms),
        })
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
        let quarantine = &gw.quarantine;
        let verdict = quarantine.record_death(self.at_ms, self.fingerprint, self.incarnation);
        log::info!(
            target: "quarantine",
            "Target died under it. request={} fingerprint={} target={} incarnation={} deaths={}",
            self.request, self.fingerprint, self.target, self.incarnation, verdict.deaths()
        );
    }
}
