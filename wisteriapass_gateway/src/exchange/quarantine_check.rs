//! A request's part in the quarantine: what it did to targets, and whether it may still go.

use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout_at;
use wisteriapass_coord::quarantine::{Fingerprint, Incarnation};

use super::attempt::Job;
use super::history::Tries;
use super::plan::host;
use crate::prelude::*;
use crate::quarantine::ProbeResult;
use crate::rpc::deadline_in;
use crate::target::{TargetId, TargetKey};

/// Longest time that another try waits for the reason of a broken connection, in milliseconds: many
/// round trips within a region. A target that is silent longer is not held against the request.
const WAIT_MS: u64 = 100;

/// Ends once a broken connection has been looked into.
pub type Noted = JoinHandle<()>;

/// A request that was under way at a target whose connection broke.
struct Break {
    at_ms: u64,
    request: String,
    fingerprint: Fingerprint,
    target: TargetId,
    incarnation: Incarnation,
}

impl Job {
    /// Returns what makes it the same as another request.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let out = &self.out;
            let host = host(&out.headers, &out.uri);
            let path = out.uri.path_and_query().map_or("", |path| path.as_str());
            let account = self.plan.account_name();
            Fingerprint::new(out.method.as_str(), &host, path, account, &out.body)
        })
    }

    /// Returns for how long it may go to no target, in milliseconds; none if it may.
    pub fn banned_for_ms(&self) -> Option<u64> {
        if self.gw.quarantine.is_empty() {
            return None;
        }
        let verdict = self.gw.quarantine.verdict(&self.fingerprint());
        let until = verdict.banned_until()?;
        Some(until.saturating_sub(self.gw.clock.now_ms()))
    }

    /// Refuses it if it crashes the targets that run it.
    pub fn admit(&self, tries: &Tries) -> Result<(), Refusal> {
        let Some(back_ms) = self.banned_for_ms() else {
            return Ok(());
        };
        log::info!(
            target: "quarantine",
            "Not sent. request={} fingerprint={} back_ms={back_ms} sent_before={}",
            self.facts.id_text(),
            self.fingerprint(),
            tries.sent
        );
        if tries.may_have_run {
            return Err(Refusal::OutcomeUnknown);
        }
        Err(Refusal::Quarantined {
            retry_after_ms: back_ms,
        })
    }

    /// Looks into why a connection with this request under way ended, and notes it if its target
    /// did.
    pub fn note_break(&self, key: TargetKey) -> Noted {
        let mut finding = self.gw.probes.start(&self.gw, key);
        let broken = self.break_at(key);
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
    fn break_at(&self, key: TargetKey) -> Option<Break> {
        let targets = self.gw.targets.borrow();
        let target = targets.get(key)?;
        let entry = &target.entry;
        if !target.is_open(Instant::now()) {
            return None;
        }
        Some(Break {
            at_ms: self.gw.clock.now_ms(),
            request: self.facts.id_text().to_owned(),
            fingerprint: self.fingerprint(),
            target: entry.id.clone(),
            incarnation: Incarnation::new(&entry.id.0, entry.started_ms),
        })
    }

    /// Waits until a broken connection has been looked into, for as long as that may matter.
    pub async fn await_note(&self, noted: Option<Noted>) {
        if let Some(noted) = noted {
            // What is not known by then counts when it is.
            let _ = timeout_at(self.plan.deadline.min(deadline_in(WAIT_MS)), noted).await;
        }
    }

    /// Notes an answer that came whole; a failure of the target's own says nothing of the request.
    pub fn note_whole(&self, status: StatusCode, facts: &ResponseMetadata) {
        if facts.is_signed && facts.is_framed && !status.is_server_error() {
            self.gw.quarantine.record_completion(self.fingerprint());
        }
    }
}

impl Break {
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
