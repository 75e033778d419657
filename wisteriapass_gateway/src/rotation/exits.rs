//! Consents of other failure domains that this one leaves rotation.

use futures_util::future::join_all;
use tokio::time::sleep;
use wisteriapass_policy::rotation::{ExitAnswer, ExitCall};

use super::coordinator::is_coordinator;
use super::messages::{ConsentAnswer, EXIT_PATH};
use super::relays::DomainRelays;
use crate::prelude::*;
use crate::rpc::deadline_in;

/// Interval at which the coordinator looks whether consents are needed, in milliseconds.
const POLL_MS: u64 = 100;

/// Time within which a relay has to answer before the next one of its domain is asked, in
/// milliseconds: many round trips between failure domains.
const ANSWER_TIMEOUT_MS: u64 = 250;

/// Requests consents while this router is the coordinator of a domain that should leave rotation;
/// never returns.
pub async fn ask_for_consents(gw: Rc<Gateway>) {
    let mut last = None;
    loop {
        sleep(Duration::from_millis(POLL_MS)).await;
        if !gw.rotation.is_coordinator.get() {
            continue;
        }
        let call = gw.rotation.planner.borrow_mut().begin_asking(gw.time());
        if let Some(call) = call {
            let outcome = ask_all(&gw, &call).await;
            if last.as_ref() != Some(&outcome) {
                log::info!(target: "rotation", "Consents. {outcome}");
            }
            last = Some(outcome);
        }
    }
}

/// Asks all other failure domains; returns the outcome for the log.
async fn ask_all(gw: &Gateway, call: &ExitCall) -> String {
    let domains = DomainRelays::of_others(gw);
    let asking = domains.iter().map(|relays| ask(gw, relays, call));
    let answers = join_all(asking).await;
    let mut planner = gw.rotation.planner.borrow_mut();
    planner.record_answers(gw.time(), &answers);
    let is_consent = |a: &&Option<ExitAnswer>| **a == Some(ExitAnswer::Consent);
    let (consents, asked) = (answers.iter().filter(is_consent).count(), answers.len());
    let refusal = answers.iter().find_map(|answer| match answer {
        Some(ExitAnswer::Refused(refusal)) => Some(refusal.to_string()),
        Some(ExitAnswer::Consent) | None => None,
    });
    let refusal = refusal.as_deref().unwrap_or("-");
    format!("consents={consents} asked={asked} refusal={refusal}")
}

/// Asks one failure domain; returns `None` if none of its relays decides.
async fn ask(gw: &Gateway, relays: &DomainRelays, call: &ExitCall) -> Option<ExitAnswer> {
    for candidate in &relays.in_order {
        let Some(relay) = relays.info(&candidate.name) else {
            continue;
        };
        let until = deadline_in(ANSWER_TIMEOUT_MS);
        let answer: Option<ConsentAnswer> =
            gw.rpc.call(relay.address, EXIT_PATH, call, until).await;
        if let Some(ConsentAnswer::Decided(answer)) = answer {
            return Some(answer);
        }
    }
    None
}

/// Answers the request of another failure domain.
pub fn answer_exit(gw: &Gateway, call: &ExitCall) -> ConsentAnswer {
    let now = gw.time();
    if !call.is_plausible() || !is_coordinator(gw, now) {
        return ConsentAnswer::Undecided;
    }
    let live = DomainRelays::own(gw).live();
    let mut planner = gw.rotation.planner.borrow_mut();
    let Some(answer) = planner.answer_exit(now, call, &live) else {
        return ConsentAnswer::Undecided;
    };
    if let ExitAnswer::Refused(refusal) = answer {
        gw.metrics.count_rotation_refusal(refusal);
        log::info!(
            target: "rotation",
            "Consent refused. domain={} reason={refusal} out={}",
            call.domain, call.is_out
        );
    }
    ConsentAnswer::Decided(answer)
}
