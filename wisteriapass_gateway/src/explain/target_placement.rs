//! A target as the placement of one request sees it.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};
use wisteriapass_policy::placement::{Candidate, Cost, HeldPrefix, Ranking};

use crate::exchange::Ineligibility;
use crate::prelude::*;
use crate::target::{Target, TargetKey};

/// Term of the cost and its name.
pub(crate) type NamedTerm = (&'static str, f64);

/// A target as the placement of one request sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetPlacement {
    /// Id.
    pub id: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Whether the request goes there.
    pub is_chosen: bool,
    /// Why it gets no request now, if so: `closed`, `other_version`, `resting`, `cold`, `limited`,
    /// `region`, `stopping` or `not_idlest` (it runs more requests than the one that gets a trial).
    pub exclusion: Option<String>,
    /// When a resting target may get requests, in milliseconds.
    pub back_ms: Option<u64>,
    /// Why it is not chosen whatever it costs, if so: `unhealthy` or `late`.
    pub passed_over: Option<String>,
    /// Its cost, if it may get the request.
    pub cost: Option<CostSummary>,
    /// Why it is assumed to hold the shared prefix: `sent`, `home`, `second_home` or `none`.
    pub prefix: String,
    /// Slots.
    pub slots: u32,
    /// Requests of this router that run there.
    pub running: u32,
    /// Prompt tokens of those whose answer has not begun.
    pub pending_prompt_tokens: u64,
    /// How many times the usual time it takes now.
    pub slowness: Option<f64>,
    /// Score of its recent failures.
    pub recent_failures: Option<f64>,
    /// Whether it has been silent for longer than usual.
    pub is_silent: Option<bool>,
}

impl TargetPlacement {
    /// Creates the placement of a target that may get no request.
    pub(crate) fn excluded(target: &Target, exclusion: &str) -> Self {
        Self {
            exclusion: Some(exclusion.to_owned()),
            ..Self::new(target)
        }
    }

    /// Creates the placement of a target for which the request is not eligible.
    pub(crate) fn ineligible(target: &Target, ineligibility: Ineligibility, now: Instant) -> Self {
        let back_ms = ineligibility.back_at().map(|at| {
            let left = at.saturating_duration_since(now);
            left.as_millis() as u64
        });
        Self {
            back_ms,
            ..Self::excluded(target, &ineligibility.to_string())
        }
    }

    /// Creates the placement of a candidate.
    pub(crate) fn candidate(
        target: &Target,
        candidate: &Candidate<TargetKey>,
        ranking: &Ranking<'_, TargetKey>,
        is_chosen: bool,
    ) -> Self {
        let passed_over = ranking.passed_over(candidate);
        Self {
            is_chosen,
            passed_over: passed_over.map(|reason| reason.to_string()),
            cost: Some(CostSummary::new(
                ranking.cost(candidate),
                ranking.unread_tokens(candidate),
            )),
            prefix: ranking.held_prefix(candidate).to_string(),
            slowness: Some(candidate.slowness),
            recent_failures: Some(candidate.recent_failures),
            is_silent: Some(candidate.silent),
            ..Self::new(target)
        }
    }

    /// Returns the order of targets in an answer: the chosen one, candidates by cost, then the rest.
    pub(crate) fn by_rank(&self, other: &Self) -> Ordering {
        let group = |t: &Self| (!t.is_chosen, t.cost.is_none(), t.passed_over.is_some());
        let total = |t: &Self| t.cost.map_or(0.0, |cost| cost.total);
        group(self)
            .cmp(&group(other))
            .then_with(|| total(self).total_cmp(&total(other)))
            .then_with(|| self.id.cmp(&other.id))
    }

    /// Returns the cost, if the target may be chosen.
    pub(crate) fn eligible_cost(&self) -> Option<CostSummary> {
        self.cost.filter(|_| self.passed_over.is_none())
    }

    fn new(target: &Target) -> Self {
        Self {
            id: target.entry.id.0.clone(),
            failure_domain: target.entry.failure_domain.clone(),
            is_chosen: false,
            exclusion: None,
            back_ms: None,
            passed_over: None,
            cost: None,
            prefix: HeldPrefix::None.to_string(),
            slots: target.entry.slots,
            running: target.running.get(),
            pending_prompt_tokens: target.pending_prompt_tokens.get(),
            slowness: None,
            recent_failures: None,
            is_silent: None,
        }
    }
}

/// Cost of a target by its terms, in tokens; they add up to the total.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CostSummary {
    /// Sum of the terms; the lowest is the best.
    pub total: f64,
    /// Work ahead of the request, across all routers.
    pub queue: f64,
    /// What the target has to read for the request, weighted.
    pub read: f64,
    /// What its slowness adds, or its speed takes off.
    pub slowness: f64,
    /// Recent failures.
    pub failures: f64,
    /// Bonus of the router's own failure domain, zero or less.
    pub domain: f64,
    /// Tokens of the prompt that the target has to read, unweighted.
    pub unread_tokens: f64,
}

impl CostSummary {
    fn new(cost: Cost, unread_tokens: f64) -> Self {
        Self {
            total: cost.total(),
            queue: cost.queue,
            read: cost.read,
            slowness: cost.slowness(),
            failures: cost.failures,
            domain: -cost.domain_bonus,
            unread_tokens,
        }
    }

    /// Returns the terms.
    pub(crate) fn terms(&self) -> [NamedTerm; 5] {
        [
            ("queue", self.queue),
            ("read", self.read),
            ("slowness", self.slowness),
            ("failures", self.failures),
            ("domain", self.domain),
        ]
    }
}
