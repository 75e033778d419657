//! Where a request would go within one service.

use serde::{Deserialize, Serialize};

use super::{CostSummary, TargetPlacement};
use crate::prelude::*;

/// Where a request would go within one service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServicePlacement {
    /// Name of the service.
    pub service: String,
    /// Share of the route's requests that are drawn for it.
    pub share: f64,
    /// What happens to the request.
    pub decision: Decision,
    /// The target that it goes to; absent if there is none. Also given if it is refused for a reason
    /// other than the targets.
    pub choice: Option<Choice>,
    /// Whether it may only be sent in a trial, as it is suspected of crashing targets.
    pub is_trial: bool,
    /// Whether a hedged copy would be sent.
    pub hedge: String,
    /// All targets of the service, the chosen one first, then the candidates by cost.
    pub targets: Vec<TargetPlacement>,
}

/// What happens to a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Decision {
    /// `send`, `wait` (it is sent if what it waits for comes) or `refuse`.
    pub action: String,
    /// The refusal, if it is refused.
    pub refusal: Option<RefusalSummary>,
    /// What it waits for first.
    pub waits: Vec<WaitSummary>,
}

impl Decision {
    /// Creates the decision of a request that is refused or waits, or else is sent.
    pub(crate) fn new(refusal: Option<Refusal>, waits: Vec<WaitSummary>) -> Self {
        let action = match refusal {
            Some(_) => "refuse",
            None if waits.is_empty() => "send",
            None => "wait",
        };
        Self {
            action: action.to_owned(),
            waits: if refusal.is_some() { Vec::new() } else { waits },
            refusal: refusal.map(RefusalSummary::from),
        }
    }
}

/// Something that a request waits for before it is sent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WaitSummary {
    /// `receipts` of witnesses, an `exchange` or loan of shares, a `grant` of a relay, a `trial`, or the
    /// `origin` of a stream.
    pub what: String,
    /// The refusal if it does not come.
    pub otherwise: RefusalSummary,
}

impl WaitSummary {
    pub(crate) fn new(what: &str, otherwise: Refusal) -> Self {
        Self {
            what: what.to_owned(),
            otherwise: otherwise.into(),
        }
    }
}

/// A refusal as its caller gets it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalSummary {
    /// Reason.
    pub reason: String,
    /// HTTP status.
    pub status: u16,
    /// When the caller may come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl From<Refusal> for RefusalSummary {
    fn from(refusal: Refusal) -> Self {
        Self {
            reason: refusal.to_string(),
            status: refusal.status().as_u16(),
            retry_after_ms: refusal.retry_after_ms(),
        }
    }
}

/// The chosen target, and why it is chosen.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Choice {
    /// Id of the target.
    pub target: String,
    /// `only_candidate`, `lowest_cost` or `draw` (several have the lowest cost, and each request draws
    /// one of them).
    pub reason: String,
    /// Id of the next best target.
    pub next: Option<String>,
    /// What the next best target costs more, in tokens.
    pub margin: Option<f64>,
    /// Term of the cost that speaks most against the next best target.
    pub decided_by: Option<String>,
}

impl Choice {
    /// Returns the choice among targets in the order of an answer, if one is chosen.
    pub(crate) fn among(targets: &[TargetPlacement]) -> Option<Self> {
        let (chosen, others) = targets.split_first().filter(|(first, _)| first.is_chosen)?;
        let cost = chosen.eligible_cost()?;
        let mut others = others.iter();
        let next = others.find_map(|other| Some((other, other.eligible_cost()?)));
        let margin = next.map(|(_, next)| next.total - cost.total);
        let reason = match margin {
            None => "only_candidate",
            Some(0.0) => "draw",
            Some(_) => "lowest_cost",
        };
        let decided_by = next.filter(|_| reason == "lowest_cost");
        Some(Self {
            target: chosen.id.clone(),
            reason: reason.to_owned(),
            next: next.map(|(next, _)| next.id.clone()),
            margin,
            decided_by: decided_by.map(|(_, next)| decisive_term(cost, next).to_owned()),
        })
    }
}

/// Returns the term of the cost that speaks most against the next best target.
fn decisive_term(chosen: CostSummary, next: CostSummary) -> &'static str {
    let terms = chosen.terms().into_iter().zip(next.terms());
    let differences = terms.map(|((name, chosen), (_, next))| (name, next - chosen));
    let most = differences.max_by(|a, b| a.1.total_cmp(&b.1));
    most.map_or("", |(name, _)| name)
}
