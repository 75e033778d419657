//! Decides whether a response is complete, and records it if so: for plain responses and streams,
//! first and resumed runs.

use super::attempt::ProxiedRequest;
use super::body_end::{EndPoint, UnprovenEnd};
use super::fault::Fault;
use super::quarantine_check::BreakCheck;
use crate::dispatch::TargetConnection;
use crate::framing::Framing;
use crate::prelude::*;
use crate::quarantine::ProbeResult;
use crate::target::TargetKey;

/// Time before a target's deadline from which the end of its connection may be due to the deadline,
/// in milliseconds. Targets count from when they read the request, and some count in whole ticks of
/// their system.
const DEADLINE_MARGIN_MS: u64 = 10;

/// Whether a body that ended without an error of its connection is complete.
#[derive(Debug)]
pub enum Completeness {
    /// It is.
    Complete,
    /// It ended early. A check of the connection is in progress if that ended too.
    Broken(Option<BreakCheck>),
}

impl ProxiedRequest {
    /// Determines whether a body that ended without an error of its connection is complete.
    ///
    /// A length or a last chunk proves it, except inside an event. The end of a connection proves
    /// nothing, as the target may have crashed or reached its deadline: the body is complete only if
    /// it has an event, if it is a stream, and the target had time left and lives.
    pub async fn completeness(
        &self,
        key: TargetKey,
        framing: Framing,
        end_point: EndPoint,
    ) -> Completeness {
        if framing == Framing::Explicit {
            return self.explicit_end(key, end_point);
        }
        let early = self.early_end(end_point);
        let mut break_check = self.check_break(key);
        if let Some(end) = early {
            self.record_unproven_end(key, framing, end);
            return Completeness::Broken(Some(break_check));
        }
        if let Ok(ProbeResult::Alive | ProbeResult::Saturated) = (&mut break_check).await {
            self.record_unproven_end(key, framing, UnprovenEnd::TargetAlive);
            return Completeness::Complete;
        }
        self.record_unproven_end(key, framing, UnprovenEnd::TargetEnded);
        Completeness::Broken(None)
    }

    fn explicit_end(&self, key: TargetKey, end_point: EndPoint) -> Completeness {
        if end_point != EndPoint::InsideEvent {
            return Completeness::Complete;
        }
        self.record_unproven_end(key, Framing::Explicit, UnprovenEnd::InsideEvent);
        Completeness::Broken(None)
    }

    /// Returns why a body that ended with its connection is not complete, if that is clear without
    /// asking the target.
    fn early_end(&self, end_point: EndPoint) -> Option<UnprovenEnd> {
        match end_point {
            EndPoint::InsideEvent => Some(UnprovenEnd::InsideEvent),
            EndPoint::BeforeEvents => Some(UnprovenEnd::NoEvent),
            EndPoint::Possible => {
                let is_due = self.plan.remaining_ms(&self.gw) <= DEADLINE_MARGIN_MS;
                is_due.then_some(UnprovenEnd::Deadline)
            }
        }
    }

    fn record_unproven_end(&self, key: TargetKey, framing: Framing, end: UnprovenEnd) {
        self.gw.metrics.count_unproven_end(end);
        let targets = self.gw.targets.borrow();
        log::info!(
            target: "exchange",
            "Unproven end. request={} target={} framing={framing} found={end} after_ms={}",
            self.metadata.id_text(),
            targets.get(key).map_or("-", |t| &t.entry.id.0),
            self.plan.arrived.elapsed().as_millis()
        );
    }

    /// Records a complete response for its target's health and the quarantine, and returns its
    /// connection to the pool. Server errors say nothing of the request.
    pub fn record_complete_response(
        &self,
        key: TargetKey,
        status: StatusCode,
        metadata: &ResponseMetadata,
        framing: Framing,
        connection: TargetConnection,
    ) {
        connection.release(metadata, framing);
        if status.is_server_error() {
            self.record_fault(key, Fault::Failed);
            return;
        }
        self.record_success(key);
        if status.is_success() {
            self.record_answer();
        }
        if metadata.is_signed && framing == Framing::Explicit {
            self.gw.quarantine.record_completion(self.fingerprint());
        }
    }
}
