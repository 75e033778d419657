//! Streams that go on, within one response or over several attempts of a client, at the software
//! version that began them.

use smallvec::SmallVec;
use tokio::time::timeout_at;
use wisteriapass_coord::origin::{MAX_STREAM_MS, Software, StreamId};

use super::attempt::ProxiedRequest;
use super::history::AttemptHistory;
use super::plan::Plan;
use crate::metrics::OriginSource;
use crate::prelude::*;
use crate::relays::{FoundOrigin, find_origin};
use crate::rpc::deadline_in;
use crate::target::{Target, TargetKey};

/// Maximum time that a request waits until a router that has just started knows what served before,
/// in milliseconds.
const START_WAIT_MS: u64 = 1_000;

/// Time for which a stream is remembered beyond its client's deadline, in milliseconds: the client
/// counts from when it sent the request.
const DEADLINE_MARGIN_MS: u64 = 1_000;

/// Minimum time for which a stream is remembered, in milliseconds: some clients give each attempt a
/// deadline of its own.
const MIN_REMEMBERED_MS: u64 = 30_000;

/// Returns the plan of a request, bound to the software that began the stream if the client resumes
/// one.
///
/// # Errors
///
/// [`Refusal::UnknownVersion`] or [`Refusal::NoSameVersion`].
pub async fn plan_resumption(
    gw: &Rc<Gateway>,
    metadata: &RequestMetadata,
    plan: &Plan,
) -> Result<Plan, Refusal> {
    if !metadata.is_resumption() || !plan.route.kind.is_stream() {
        return Ok(plan.clone());
    }
    let finding = gw.run_unless_aborted(find(gw, metadata, plan));
    let found = finding.await.ok_or(Refusal::Stopping)?;
    log_found(metadata, plan, &found);
    gw.metrics.count_resumed_stream(found.source);
    bind(gw, plan, found.software)
}

/// Binds a plan to the software that began the stream.
fn bind(gw: &Gateway, plan: &Plan, software: Option<Software>) -> Result<Plan, Refusal> {
    let software = software.ok_or(Refusal::UnknownVersion)?;
    let catalogue = gw.catalogue().ok_or(Refusal::NotConfigured)?;
    if !plan.route.permits(&software.service) {
        return Err(Refusal::NoSameVersion);
    }
    let mut plan = plan.clone().with_service(&catalogue, &software.service);
    plan.origin = Some(software);
    plan.check_origin(gw)?;
    Ok(plan)
}

/// Returns the plan of a request as far as this router alone can tell, without asking others: bound to
/// the software that began the stream, or `None` if others have to be asked for it.
///
/// # Errors
///
/// [`Refusal::UnknownVersion`] or [`Refusal::NoSameVersion`].
pub fn known_origin(
    gw: &Gateway,
    metadata: &RequestMetadata,
    plan: &Plan,
) -> Result<Option<Plan>, Refusal> {
    if !metadata.is_resumption() || !plan.route.kind.is_stream() {
        return Ok(Some(plan.clone()));
    }
    let Some(attempt) = &metadata.resumes else {
        let found = find_without_attempt(gw, plan);
        return bind(gw, plan, found.software).map(Some);
    };
    let stream = StreamId::new(plan.account_name(), attempt.as_bytes());
    let services = plan.route.services.iter().map(|s| s.service.as_str());
    let known = gw.origins.knowledge(Some(&stream), services);
    match known.origin {
        Some(software) => bind(gw, plan, Some(software)).map(Some),
        None => Ok(None),
    }
}

/// Finds the software that began the stream.
async fn find(gw: &Gateway, metadata: &RequestMetadata, plan: &Plan) -> FoundOrigin {
    let Some(attempt) = &metadata.resumes else {
        return find_without_attempt(gw, plan);
    };
    let stream = StreamId::new(plan.account_name(), attempt.as_bytes());
    let services = plan.route.services.iter().map(|s| s.service.clone());
    let services: SmallVec<[String; 2]> = services.collect();
    let mut found = find_origin(gw, stream, services.clone()).await;
    if found.software.is_none() && !found.is_complete {
        let until = plan.deadline.min(deadline_in(START_WAIT_MS));
        // Without an answer of the store, what is known by then decides.
        let _ = timeout_at(until, gw.origins.wait_until_complete()).await;
        found = find_origin(gw, stream, services).await;
    }
    match (&found.software, found.source) {
        (None, _) => gw.origins.record_unknown(stream),
        (Some(software), OriginSource::Peer) => {
            gw.origins.learn(stream, software, plan.deadline);
        }
        (Some(_), _) => {}
    }
    found
}

/// Finds the software of a stream of which the client does not name the first attempt.
fn find_without_attempt(gw: &Gateway, plan: &Plan) -> FoundOrigin {
    let services = std::iter::once(plan.service.as_str());
    FoundOrigin::without_attempt(gw.origins.knowledge(None, services))
}

fn log_found(metadata: &RequestMetadata, plan: &Plan, found: &FoundOrigin) {
    let software = found.software.as_ref().map(Software::to_string);
    log::info!(
        target: "exchange",
        "Client resumes a stream. request={} resumes={} last_event={:?} route={} software={} \
         source={} asked={} answered={}",
        metadata.id_text(),
        metadata.resumes_text(),
        metadata.last_event,
        plan.route.name,
        software.as_deref().unwrap_or("-"),
        found.source,
        found.asked,
        found.answered
    );
}

impl ProxiedRequest {
    /// Records that a target wrote the first event that the client gets from this router. From then on
    /// the stream goes on at the target's software only, here and at other routers.
    pub fn record_origin(&self, key: TargetKey, history: &mut AttemptHistory) {
        if history.origin.is_none() {
            let targets = self.gw.targets.borrow();
            history.origin = targets.get(key).map(Target::software);
        }
        let first_attempt = self.metadata.resumes.as_ref().or(self.metadata.id.as_ref());
        let (Some(attempt), Some(origin)) = (first_attempt, &history.origin) else {
            return;
        };
        let stream = StreamId::new(self.plan.account_name(), attempt.as_bytes());
        let remaining_ms = self.metadata.remaining_ms;
        let remaining_ms = remaining_ms.unwrap_or(self.plan.route.timeout_ms);
        let remembered_ms = remaining_ms.saturating_add(DEADLINE_MARGIN_MS);
        let remembered_ms = remembered_ms.clamp(MIN_REMEMBERED_MS, MAX_STREAM_MS);
        let remembered_for = Duration::from_millis(remembered_ms);
        let deadline = self.plan.arrived + remembered_for;
        self.gw.origins.record(stream, origin, deadline);
    }

    /// Logs that a stream that has events goes on at a target.
    pub(super) fn log_resumption(
        &self,
        key: TargetKey,
        history: &AttemptHistory,
        last_event: Option<u64>,
    ) {
        let last_event = last_event.or(self.metadata.last_event);
        if last_event.is_none() && self.metadata.resumes.is_none() {
            return;
        }
        let targets = self.gw.targets.borrow();
        let Some(target) = targets.get(key) else {
            return;
        };
        log::info!(
            target: "exchange",
            "Stream goes on. request={} resumes={} last_event={last_event:?} target={} version={} \
             sent_before={}",
            self.metadata.id_text(),
            self.metadata.resumes_text(),
            target.entry.id,
            target.entry.version,
            history.sent
        );
    }
}
