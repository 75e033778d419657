//! Explains where a request would go now, and why, without sending it.
//!
//! The answer comes from this router's own state and from the functions that route: they are called
//! here without what they lead to. Nothing is sent, reserved, recorded or learned.

mod answer;
mod call;
mod error;
mod money_at_hand;
mod question;
mod saved_head;
mod serve;
mod service_placement;
mod target_placement;

pub use answer::{ExplainAnswer, RequestSummary, RouteSummary, RouterSummary};
pub use call::{ExplainCall, PromptPart};
pub use error::{ErrorAnswer, ErrorDetail, ExplainError};
pub use money_at_hand::MoneyAtHand;
pub use serve::EXPLAIN_PATH;
pub use service_placement::{Choice, Decision, RefusalSummary, ServicePlacement, WaitSummary};
pub use target_placement::{CostSummary, TargetPlacement};

pub(crate) use serve::serve;

use crate::catalogue::{Account, Catalogue};
use crate::dispatch::outgoing_request;
use crate::exchange::{Plan, ProxiedRequest, account, host, known_origin};
use crate::prelude::*;
use question::Question;

/// Service of a request whose route has none: no target serves it.
const NO_SERVICE: &str = "";

/// Explains where a request would go now.
///
/// # Errors
///
/// [`ExplainError`] if the call is malformed, or the request belongs to no route or account.
pub(crate) async fn explain(
    gw: &Rc<Gateway>,
    call: &ExplainCall,
) -> Result<ExplainAnswer, ExplainError> {
    let catalogue = gw.catalogue().ok_or(ExplainError::NotConfigured)?;
    let question = Question::read(gw, call, &catalogue.limits).await?;
    let arrived = Instant::now();
    let route = find_route(&catalogue, &question)?;
    let account = find_account(&catalogue, &route, call, &question)?;
    let metadata = &question.metadata;
    let plan = Plan::of_route(gw, &catalogue, route, account, metadata, arrived);
    let money = gw
        .ledger
        .money_at_hand(plan.account.as_deref(), metadata, plan.route.priority);
    let mut services: Vec<ServicePlacement> = Vec::new();
    for (service, share) in shares(&plan.route) {
        let plan = plan.clone().with_service(&catalogue, service);
        let placement = explain_service(gw, &question, plan, share, &money);
        // A stream that is resumed goes on at one service, whichever was drawn.
        if services.iter().all(|s| s.service != placement.service) {
            services.push(placement);
        }
    }
    Ok(ExplainAnswer {
        router: RouterSummary::new(gw, catalogue.version),
        request: RequestSummary::new(gw, &question, &plan),
        route: RouteSummary::new(&plan.route),
        money: money.at_hand,
        services,
    })
}

/// Explains a request that was drawn for a service.
fn explain_service(
    gw: &Rc<Gateway>,
    question: &Question,
    plan: Plan,
    share: f64,
    money: &crate::ledger::MoneyCheck,
) -> ServicePlacement {
    let head_refusal = plan.check_head(gw, &question.metadata).err();
    let origin = known_origin(gw, &question.metadata, &plan);
    let (plan, origin_refusal, asks_for_origin) = match origin {
        Ok(Some(bound)) => (bound, None, false),
        Ok(None) => (plan, None, true),
        Err(refusal) => (plan, Some(refusal), false),
    };
    let share = if plan.origin.is_some() && question.metadata.resumes.is_some() {
        1.0
    } else {
        share
    };
    let outgoing = outgoing_request(question.parts.clone(), Bytes::new());
    let request = ProxiedRequest::new(gw.clone(), outgoing, question.metadata.clone(), plan);
    let refusal = head_refusal.or(origin_refusal);
    request.explain(share, refusal, asks_for_origin, money)
}

fn find_route(catalogue: &Catalogue, question: &Question) -> Result<Rc<Route>, ExplainError> {
    let parts = &question.parts;
    let host = host(&parts.headers, &parts.uri);
    let path = parts.uri.path();
    if let Some(route) = catalogue.route(&host, path) {
        return Ok(route);
    }
    if !catalogue.has_host(&host) {
        return Err(ExplainError::UnknownHost { host });
    }
    let path = path.to_owned();
    Err(ExplainError::UnknownPath { host, path })
}

/// Returns the account that is named, or else that which owns the key.
fn find_account(
    catalogue: &Catalogue,
    route: &Route,
    call: &ExplainCall,
    question: &Question,
) -> Result<Option<Rc<Account>>, ExplainError> {
    let Some(name) = &call.account else {
        let has_key = question.metadata.key.is_some();
        return account(catalogue, route, &question.metadata).map_err(|_| {
            if has_key {
                ExplainError::UnknownKey
            } else {
                ExplainError::AccountRequired
            }
        });
    };
    let named = catalogue.account_named(name);
    let named = named.ok_or_else(|| ExplainError::UnknownAccount { name: name.clone() })?;
    Ok((!route.public).then_some(named))
}

/// Returns the services that requests of a route are drawn for, with their shares.
fn shares(route: &Route) -> Vec<(&str, f64)> {
    let total: u64 = route.services.iter().map(|s| u64::from(s.weight)).sum();
    let drawn = route.services.iter().filter(|s| s.weight > 0);
    let shares = drawn.map(|s| (s.service.as_str(), f64::from(s.weight) / total as f64));
    let shares: Vec<(&str, f64)> = shares.collect();
    if shares.is_empty() {
        return vec![(NO_SERVICE, 1.0)];
    }
    shares
}
