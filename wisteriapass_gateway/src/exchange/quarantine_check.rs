//! A request's part in the quarantine: what it did to targets, and whether it may still go.

use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout_at;
use wisteriapass_coord::quarantine::{Fingerprint, Incarnation};

use super::attempt::ProxiedRequest;
use super::history::AttemptHistory;
use super::plan::host;
use crate::prelude::*;
use crate::quarantine::ProbeResult;
use crate::rpc::deadline_in;
use crate::target::{TargetId, TargetKey};

/// Longest time that another try waits for the reason of a broken connection, in milliseconds: many
/// round trips within a region. A target that is silent longer is not held against the request.
const BREAK_CHECK_TIMEOUT_MS: u64 = 100;

/// Ends once a broken connection has been looked into.
pub type BreakCheck = JoinHandle<()>;

/// A request that was under way at a target whose connection broke.
struct ConnectionBreak {
    at_ms: u64,
    request: String,
    fingerprint: Fingerprint,
    target: TargetId,
    incarnation: Incarnation,
}

impl ProxiedRequest {
    /// Returns what makes it the same as another request.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let out = &self.outgoing;
            let host = host(&out.headers, &out.uri);
            let path = out.uri.path_and_query().map_or("", |path| path.as_str());
            let account = self.plan.account_name();
            Fingerprint::new(out.method.as_str(), &host, path, account, &out.body)
        })
    }

    /// Returns for how long it may go to no target, in milliseconds; none if it may.
    pub fn ban_remaining_ms(&self) -> Option<u64> {
        if self.gw.quarantine.is_empty() {
            return None;
        }
        let verdict = self.gw.quarantine.verdict(&self.fingerprint());
        let until = verdict.banned_until()?;
        Some(until.saturating_sub(self.gw.clock.now_ms()))
    }

    /// Refuses it if it crashes the targets that run it.
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

    /// Looks into why a connection with this request under way ended, and notes it if its target
    /// did.
    pub fn check_break(&self, key: TargetKey) -> BreakCheck {
        let mut finding = self.gw.probes.start(&self.gw, key);
        let broken = self.connection_break(key);
        let gw = self.gw.clone();
        spawn_local(async move {
            // An error is the end of the router.
            let found = finding.wait_for(Option::is_some).await;
            let is_gone = found.is_ok_and(|found| *found == Some(ProbeResult::Gone));
            if let Some(broken) = broken.filter(|_| is_gone) {
                broken.note(&gw);
            }
        })
    }

    /// Returns what to note if its target ended; nothing for one that leaves, which ends without
    /// anybody's doing.
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

    /// Waits until a broken connection has been looked into, for as long as that may matter.
    pub async fn await_break_check(&self, break_check: Option<BreakCheck>) {
        if let Some(break_check) = break_check {
            // What is not known by then counts when it is.
            let _ = timeout_at(
                self.plan.deadline.min(deadline_in(BREAK_CHECK_TIMEOUT_MS)),
                break_check,
            )
            .await;
        }
    }

    /// Notes an answer that came whole; a failure of the target's own says nothing of the request.
    pub fn record_complete_response(&self, status: StatusCode, metadata: &ResponseMetadata) {
        if metadata.is_signed && metadata.is_framed && !status.is_server_error() {
            self.gw.quarantine.record_completion(self.fingerprint());
        }
    }
}

impl ConnectionBreak {
    fn note(&self, gw: &Gateway) {
        let quarantine = &gw.quarantine;
        let verdict = quarantine.record_death(self.at_ms, self.fingerprint, self.incarnation);
        log::info!(
            target: "quarantine",
            "Target died under it. request={} fingerprint={} target={} incarnation={} deaths={}",
            self.request, self.fingerprint, self.target, self.incarnation, verdict.deaths()
        );
    }
}
