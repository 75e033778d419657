//! Decides whether a response is complete, and records it if so: for plain responses and streams,
//! first and resumed runs.

use derive_more::Display;

use super::attempt::ProxiedRequest;
use super::fault::Fault;
use super::quarantine_check::BreakCheck;
use crate::dispatch::TargetConnection;
use crate::framing::Framing;
use crate::prelude::*;
use crate::quarantine::ProbeResult;
use crate::target::TargetKey;

/// Whether a body that ended without an error of its connection is complete.
#[derive(Debug)]
pub enum Completeness {
    /// It is.
    Complete,
    /// It ended early. A check of the connection is in progress if that ended too.
    Broken(Option<BreakCheck>),
}

/// What was found of a body whose end proves nothing.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum UnprovenEnd {
    /// The stream ended inside an event.
    #[display("inside_event")]
    InsideEvent,
    /// The connection ended, and the target did too, or does not respond any more.
    #[display("target_ended")]
    TargetEnded,
    /// The connection ended, and the target lives.
    #[display("target_alive")]
    TargetAlive,
}

impl ProxiedRequest {
    /// Determines whether a body that ended without an error of its connection is complete.
    ///
    /// A length or a last chunk proves it, except inside an event. The end of a connection proves
    /// nothing, as the target may have crashed: the body is complete only if the target lives.
    pub async fn completeness(
        &self,
        key: TargetKey,
        framing: Framing,
        is_inside_event: bool,
    ) -> Completeness {
        let mut break_check = match framing {
            Framing::Explicit => None,
            Framing::ConnectionEnd => Some(self.check_break(key)),
        };
        if is_inside_event {
            self.record_unproven_end(framing, UnprovenEnd::InsideEvent);
            return Completeness::Broken(break_check);
        }
        let Some(check) = &mut break_check else {
            return Completeness::Complete;
        };
        if let Ok(ProbeResult::Alive | ProbeResult::Saturated) = check.await {
            self.record_unproven_end(framing, UnprovenEnd::TargetAlive);
            return Completeness::Complete;
        }
        self.record_unproven_end(framing, UnprovenEnd::TargetEnded);
        Completeness::Broken(None)
    }

    fn record_unproven_end(&self, framing: Framing, end: UnprovenEnd) {
        self.gw.metrics.count_unproven_end(end);
        log::info!(
            target: "exchange",
            "Unproven end. request={} framing={framing} found={end}",
            self.metadata.id_text()
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
        if metadata.is_signed && framing == Framing::Explicit {
            self.gw.quarantine.record_completion(self.fingerprint());
        }
    }
}
