//! The way of one request: accept, route, authenticate, reserve, admit, dispatch, relay, settle.

mod attempt;
mod fault;
mod history;
mod plan;
mod quarantine_check;
mod reply;
mod selection;

use std::convert::Infallible;

use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::time::timeout_at;

use crate::dispatch::outgoing;
use crate::prelude::*;
use plan::Plan;

pub use attempt::Job;
pub use fault::Fault;
pub use history::Tries;
pub use quarantine_check::Noted;
pub use reply::{AnswerBody, Pieces, streamed};

/// Serves one request.
///
/// # Errors
///
/// None; a failure is an answer too.
pub async fn serve(
    gw: Rc<Gateway>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let arrived = Instant::now();
    let (parts, body) = request.into_parts();
    let facts = gw.platform.request_metadata(&parts.headers);
    let plan = match Plan::new(&gw, &parts, &facts, arrived) {
        Ok(plan) => plan,
        Err(refusal) => return Ok(reply::refuse(&gw, &facts, None, refusal, arrived)),
    };
    let result = carry(&gw, parts, body, &facts, &plan).await;
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => reply::refuse(&gw, &facts, Some(&plan), refusal, arrived),
    };
    // A caller whose connection ends comes again by another router.
    if gw.is_stopping() || gw.is_behind() {
        reply::close(&mut response);
    }
    Ok(response)
}

/// Takes a planned request to a target and brings the answer back.
async fn carry(
    gw: &Rc<Gateway>,
    parts: hyper::http::request::Parts,
    body: Incoming,
    facts: &RequestMetadata,
    plan: &Plan,
) -> Result<Response<AnswerBody>, Refusal> {
    plan.check_targets(gw)?;
    if !plan.ends_in_time_somewhere(gw, facts, &[]) {
        return Err(Refusal::Stopping);
    }
    let body = gw.unless_cut(read_body(body, plan)).await;
    let body = body.ok_or(Refusal::Stopping)??;
    let job = Job::new(
        gw.clone(),
        outgoing(parts, body),
        facts.clone(),
        plan.clone(),
    );
    job.admit(&Tries::default())?;
    let reservation = match &plan.account {
        Some(account) => {
            let per_event = plan.tokens_per_event;
            let reserving = gw.ledger.reserve(
                account,
                facts,
                plan.route.priority,
                per_event,
                plan.deadline,
            );
            let reserved = gw.unless_cut(reserving).await;
            reserved.ok_or(Refusal::Stopping)??
        }
        None => None,
    };
    gw.earn_retry(&plan.service);
    job.run(reservation).await
}

/// Reads a body whole, so that it can be sent again.
async fn read_body(body: Incoming, plan: &Plan) -> Result<Bytes, Refusal> {
    let limited = Limited::new(body, plan.limits.body_bytes);
    let until = plan.deadline.min(plan.body_by);
    match timeout_at(until, limited.collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Refusal::TooLarge),
        Ok(Err(_)) => Err(Refusal::BodyBroken),
        Err(_) => Err(Refusal::LateNotRun),
    }
}
