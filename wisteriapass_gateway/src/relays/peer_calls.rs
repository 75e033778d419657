//! Serves the calls of other routers.

use tokio::net::TcpListener;

use super::messages::UPDATE_PATH;
use super::origin_queries::{ORIGIN_QUERY_PATH, answer_query};
use super::origin_reports::ORIGIN_REPORT_PATH;
use super::quarantine::QUARANTINE_PATH;
use super::speeds::{SPEEDS_PATH, answer_speeds};
use super::trials::{TRIAL_PATH, answer_call};
use crate::ledger::{
    COMPOSE_PATH, GRANT_PATH, INQUIRY_PATH, LEND_PATH, OUTCOME_PATH, REPORT_PATH, Role,
};
use crate::prelude::*;
use crate::rotation::{EXIT_PATH, ROTATION_PATH, answer_exit, answer_report};
use crate::rpc::serve_calls;

/// Path of a request for the evacuated failure domains, which routers of earlier versions send.
const EVACUATIONS_PATH: &str = "/relay/evacuations";

/// Serves calls of other routers until the process ends.
pub async fn serve_peers(gw: Rc<Gateway>, listener: TcpListener) {
    let memory = gw.memory.clone();
    let answer = move |path: String, message: Bytes| {
        let gw = gw.clone();
        let answered: crate::platform::LocalFuture<'static, _> =
            Box::pin(async move { answer(&gw, &path, &message).await });
        answered
    };
    serve_calls(listener, memory, Rc::new(answer)).await;
}

/// Answers one call; returns `None` for an unknown or malformed call, and for one that this
/// router's role does not serve.
async fn answer(gw: &Rc<Gateway>, path: &str, message: &[u8]) -> Option<Vec<u8>> {
    match path {
        LEND_PATH => gw.ledger.handle_loan_request(message).await,
        COMPOSE_PATH => gw.ledger.handle_compose(message),
        OUTCOME_PATH => gw.ledger.handle_outcome(message),
        REPORT_PATH => gw.ledger.handle_report(message),
        INQUIRY_PATH => gw.ledger.handle_inquiry(message),
        QUARANTINE_PATH => {
            let call = postcard::from_bytes(message).ok()?;
            postcard::to_stdvec(&gw.quarantine.handle_call(&call)).ok()
        }
        ORIGIN_REPORT_PATH => {
            let report = postcard::from_bytes(message).ok()?;
            postcard::to_stdvec(&gw.origins.handle_report(&report)).ok()
        }
        ORIGIN_QUERY_PATH => {
            let query = postcard::from_bytes(message).ok()?;
            postcard::to_stdvec(&answer_query(gw, &query)).ok()
        }
        SPEEDS_PATH => {
            let call = postcard::from_bytes(message).ok()?;
            postcard::to_stdvec(&answer_speeds(gw, &call)).ok()
        }
        EVACUATIONS_PATH => postcard::to_stdvec(&*gw.evacuations.borrow()).ok(),
        _ if gw.ledger.role() == Role::Follower => None,
        UPDATE_PATH => {
            let call = postcard::from_bytes(message).ok()?;
            postcard::to_stdvec(&super::relay::answer_update(gw, &call)?).ok()
        }
        ROTATION_PATH => {
            let report = postcard::from_bytes(message).ok()?;
            postcard::to_stdvec(&answer_report(gw, report)?).ok()
        }
        EXIT_PATH => {
            let call = postcard::from_bytes(message).ok()?;
            postcard::to_stdvec(&answer_exit(gw, &call)).ok()
        }
        TRIAL_PATH => {
            let call = postcard::from_bytes(message).ok()?;
            postcard::to_stdvec(&answer_call(gw, &call)).ok()
        }
        GRANT_PATH => {
            let call = postcard::from_bytes(message).ok()?;
            let answer = gw.ledger.grant(&call).await;
            postcard::to_stdvec(&answer).ok()
        }
        _ => None,
    }
}
