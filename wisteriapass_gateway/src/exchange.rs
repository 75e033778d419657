//! Handling of one request: routing, authentication, budget reservation, quarantine check,
//! dispatch, response and settlement.

mod attempt;
mod body_end;
mod broken_run;
mod candidates;
mod completeness;
mod explanation;
mod fault;
mod fingerprints;
mod held_trial;
mod history;
mod ineligibility;
mod plan;
mod quarantine_check;
mod reply;
mod rest_of_body;
mod resumption;
mod selection;
mod trial_check;
mod whole_body;

use std::convert::Infallible;

use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::time::timeout_at;
use wisteriapass_policy::memory_account::Purpose;

use crate::dispatch::outgoing_request;
use crate::held_buffer::{ReadError, read_held};
use crate::prelude::*;
use crate::reservation::Reservation;
use crate::rotation::HEAD_BYTES;

pub use attempt::ProxiedRequest;
pub use body_end::{EndPoint, UnprovenEnd};
pub use completeness::Completeness;
pub use fault::Fault;
pub use history::AttemptHistory;
pub(crate) use ineligibility::Ineligibility;
pub(crate) use plan::{Plan, account, host};
pub use quarantine_check::BreakCheck;
pub use reply::{BodyStream, ResponseBody, streamed_response};
pub(crate) use resumption::known_origin;

/// Memory that a request holds besides its body and its answer, in bytes: its tasks, and the buffers
/// of its connection to a target.
const REQUEST_BYTES: u64 = 32 << 10;

/// Serves one request.
///
/// # Errors
///
/// Never fails; failures are responses as well.
pub async fn serve(
    gw: Rc<Gateway>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let arrived = Instant::now();
    let (parts, mut body) = request.into_parts();
    let is_collected = reply::is_collected(parts.version) || gw.delivers_whole_streams();
    let metadata = gw.platform.request_metadata(&parts.headers);
    let plan = match Plan::new(&gw, &parts, &metadata, arrived) {
        Ok(plan) => plan,
        Err(refusal) => {
            rest_of_body::discard(body);
            return Ok(reply::refuse(&gw, &metadata, None, refusal, arrived));
        }
    };
    let plan = plan.with_whole_delivery(is_collected);
    let result = forward(&gw, parts, &mut body, &metadata, &plan).await;
    rest_of_body::discard(body);
    let result = match result {
        Ok(response) if is_collected => reply::collect(&gw, response).await,
        result => result,
    };
    // A caller that connects again may reach a router with more processor time or memory.
    let is_short = matches!(result, Err(Refusal::Overloaded | Refusal::MemoryShort));
    let closes = is_short || gw.closes_connections();
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => reply::refuse(&gw, &metadata, Some(&plan), refusal, arrived),
    };
    gw.record_bytes(HEAD_BYTES, HEAD_BYTES + reply::full_length(&response));
    if closes {
        reply::announce_close(&mut response);
    }
    Ok(response)
}

/// Forwards a planned request to a target and returns the response.
async fn forward(
    gw: &Rc<Gateway>,
    parts: hyper::http::request::Parts,
    body: &mut Incoming,
    metadata: &RequestMetadata,
    plan: &Plan,
) -> Result<Response<ResponseBody>, Refusal> {
    plan.check_head(gw, metadata)?;
    let memory = gw.memory.hold(Purpose::Request, REQUEST_BYTES);
    let memory = memory.map_err(|_| memory_short(gw, Purpose::Request))?;
    let body = gw.run_unless_aborted(read_body(gw, body, plan)).await;
    let body = body.ok_or(Refusal::Stopping)??;
    gw.record_bytes(body.len(), 0);
    let plan = &resumption::plan_resumption(gw, metadata, plan).await?;
    let request = ProxiedRequest::new(
        gw.clone(),
        outgoing_request(parts, body),
        metadata.clone(),
        plan.clone(),
    )
    .with_memory(memory);
    request.check_quarantine(&AttemptHistory::default())?;
    request.check_trial(&AttemptHistory::default())?;
    let mut reservation = reserve(gw, metadata, plan).await?;
    if plan.is_delivered_whole {
        reservation = reservation.map(Reservation::with_whole_delivery);
    }
    gw.credit_retry(&plan.service);
    request.run(reservation).await
}

/// Reserves the maximum cost of a request, if an account is charged for it.
async fn reserve(
    gw: &Rc<Gateway>,
    metadata: &RequestMetadata,
    plan: &Plan,
) -> Result<Option<Reservation>, Refusal> {
    let Some(account) = &plan.account else {
        return Ok(None);
    };
    let reserving = gw.ledger.reserve(
        account,
        metadata,
        plan.route.priority,
        plan.tokens_per_event,
        plan.deadline,
    );
    let reserved = gw.run_unless_aborted(reserving).await;
    reserved.ok_or(Refusal::Stopping)?
}

/// Reads the complete body, so that it can be sent again.
async fn read_body(gw: &Gateway, body: &mut Incoming, plan: &Plan) -> Result<Bytes, Refusal> {
    let until = plan.deadline.min(plan.body_by);
    let reading = read_held(&gw.memory, Purpose::Body, body, plan.limits.body_bytes);
    match timeout_at(until, reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(ReadError::TooLarge)) => Err(Refusal::TooLarge),
        Ok(Err(ReadError::Broken)) => Err(Refusal::BodyBroken),
        Ok(Err(ReadError::MemoryShort)) => Err(memory_short(gw, Purpose::Body)),
        Err(_) => Err(Refusal::LateNotRun),
    }
}

fn memory_short(gw: &Gateway, purpose: Purpose) -> Refusal {
    gw.record_memory_short(purpose);
    Refusal::MemoryShort
}
