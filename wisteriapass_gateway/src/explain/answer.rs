//! The answer to a question, as JSON.

use serde::{Deserialize, Serialize};

use super::question::Question;
use super::{MoneyAtHand, PromptPart, ServicePlacement};
use crate::exchange::{Plan, host};
use crate::prelude::*;

/// Where a request would go now, and why.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExplainAnswer {
    /// The router that answers.
    pub router: RouterSummary,
    /// The request as the router reads it.
    pub request: RequestSummary,
    /// Its route.
    pub route: RouteSummary,
    /// Money of its account.
    pub money: MoneyAtHand,
    /// Its placement in each service that it may be drawn for.
    pub services: Vec<ServicePlacement>,
}

/// The router that answers a question.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RouterSummary {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its role.
    pub role: String,
    /// Version of its configuration.
    pub configuration: u64,
    /// Whether it knows its targets.
    pub knows_targets: bool,
    /// Whether it accepts new callers.
    pub is_ready: bool,
    /// Whether it was told to stop.
    pub is_stopping: bool,
}

impl RouterSummary {
    pub(super) fn new(gw: &Gateway, configuration: u64) -> Self {
        Self {
            name: gw.settings.name.clone(),
            failure_domain: gw.settings.failure_domain.clone(),
            role: gw.ledger.role().to_string(),
            configuration,
            knows_targets: gw.is_initialized(),
            is_ready: gw.is_ready(),
            is_stopping: gw.is_stopping(),
        }
    }
}

/// A request as the router reads it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestSummary {
    /// Host.
    pub host: String,
    /// Path, without the query.
    pub path: String,
    /// Account that is charged, if the route requires one.
    pub account: Option<String>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Time until its deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Tokens of the prompt, for a model request.
    pub prompt_tokens: Option<u64>,
    /// Maximum number of output tokens, for a model request.
    pub max_output_tokens: Option<u64>,
    /// Parts of the prompt that other requests may share.
    pub shared_parts: Vec<PromptPart>,
}

impl RequestSummary {
    pub(super) fn new(gw: &Gateway, question: &Question, plan: &Plan) -> Self {
        let (parts, metadata) = (&question.parts, &question.metadata);
        let shared_parts = metadata.shared_parts().iter().map(|part| PromptPart {
            id: format!("{:x}", part.id),
            tokens: part.tokens,
        });
        Self {
            host: host(&parts.headers, &parts.uri),
            path: parts.uri.path().to_owned(),
            account: plan.account_name().map(str::to_owned),
            priority: plan.current_priority(gw),
            remaining_ms: plan.remaining_ms(gw),
            prompt_tokens: metadata.work.map(|work| work.prompt),
            max_output_tokens: metadata.work.map(|work| work.max_output),
            shared_parts: shared_parts.collect(),
        }
    }
}

/// The route of a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RouteSummary {
    /// Name.
    pub name: String,
    /// Kind of its requests.
    pub kind: String,
    /// Whether its streams may go on at another target.
    pub is_resumable: bool,
    /// Latency goal, in milliseconds.
    pub latency_goal_ms: u64,
    /// Maximum time that a request is kept, in milliseconds.
    pub timeout_ms: u64,
    /// Maximum number of targets to which a request is sent.
    pub max_attempts: u32,
}

impl RouteSummary {
    pub(super) fn new(route: &Route) -> Self {
        Self {
            name: route.name.clone(),
            kind: route.kind.to_string(),
            is_resumable: route.kind == RequestKind::Stream { resumable: true },
            latency_goal_ms: route.latency_goal_ms,
            timeout_ms: route.timeout_ms,
            max_attempts: route.max_attempts,
        }
    }
}
