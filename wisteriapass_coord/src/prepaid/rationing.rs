//! Rationing of an account's tokens after some were lost with dead routers.
//!
//! The lost tokens are missing at the end of a total: once it is used up, every caller of the
//! account is refused, regardless of rank, for as long as callers rely on the total. Rationing
//! spreads the loss. From the loss on, the part of the demand that the rest of the total cannot
//! cover is refused, lowest priority first, so that urgent requests are served for as long as
//! callers rely on the total. Refused requests offset the loss.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::prepaid::DemandMeter;

/// Fraction of a total that callers rely on.
const RELIED_ON_FRACTION: f64 = 0.97;

/// Nothing is refused while the rest of the total lasts at least this long, in milliseconds of
/// demand.
const HORIZON_MS: f64 = 12_000.0;

/// Least fraction of an account's demand that a relay is assumed to have.
const MIN_DEMAND_FRACTION: f64 = 0.02;

/// Number of times that a caller sends a request that is refused: it retries once.
const SENDS_PER_REQUEST: u64 = 2;

/// A request for tokens of an account.
#[derive(Clone, Copy, Debug)]
pub struct TokenRequest<'a> {
    /// Account.
    pub account: &'a str,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// Maximum cost, in tokens.
    pub max_cost: u64,
}

/// Scarcity of an account's tokens, as one relay sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Scarcity {
    /// Total, in tokens.
    pub total: u64,
    /// Neither known to be spent nor lost, in tokens.
    pub remaining: u64,
    /// Lost with dead routers, in tokens.
    pub lost: u64,
    /// This relay's fraction of the account's demand.
    pub demand_fraction: f64,
}

/// Demand by rank, and what was saved, for one account.
#[derive(Clone, Debug, Default)]
struct AccountRationing {
    demands: SmallVec<[(u8, DemandMeter); 4]>,
    saved_tokens: u64,
}

/// The rationing of one relay, by account.
#[derive(Clone, Debug, Default)]
pub struct Rationing {
    accounts: BTreeMap<String, AccountRationing>,
}

impl Rationing {
    /// Returns whether a request is refused in favour of more urgent ones; `random` is uniformly
    /// distributed between 0 and 1.
    ///
    /// Call this once for each request, as it also measures the demand by rank.
    pub fn should_refuse(
        &mut self,
        now_ms: u64,
        request: TokenRequest<'_>,
        scarcity: Scarcity,
        random: f64,
    ) -> bool {
        let rationing = self.accounts.entry(request.account.to_owned()).or_default();
        let is_refused = random < rationing.record(now_ms, request, scarcity);
        if is_refused {
            rationing.saved_tokens += request.max_cost / SENDS_PER_REQUEST;
        }
        is_refused
    }

    /// Returns the probability with which [`Rationing::should_refuse`] would refuse a request,
    /// without measuring anything.
    pub fn refusal_probability(
        &self,
        now_ms: u64,
        request: TokenRequest<'_>,
        scarcity: Scarcity,
    ) -> f64 {
        let known = self.accounts.get(request.account).cloned();
        known.unwrap_or_default().record(now_ms, request, scarcity)
    }
}

impl AccountRationing {
    /// Records a request; returns the fraction of requests like it that are refused.
    fn record(&mut self, now_ms: u64, request: TokenRequest<'_>, scarcity: Scarcity) -> f64 {
        self.add(now_ms, request);
        self.refused_fraction(now_ms, request.rank, scarcity)
    }

    fn add(&mut self, now_ms: u64, request: TokenRequest<'_>) {
        let known = self
            .demands
            .iter()
            .position(|(rank, _)| *rank == request.rank);
        let at = known.unwrap_or_else(|| {
            self.demands.push((request.rank, DemandMeter::default()));
            self.demands.len() - 1
        });
        self.demands[at].1.add(now_ms, request.max_cost);
    }

    /// Returns the fraction of requests of a rank that are refused.
    fn refused_fraction(&self, now_ms: u64, rank: u8, scarcity: Scarcity) -> f64 {
        let uncovered = self.uncovered_fraction(scarcity);
        let total_demand = self.demand(now_ms, |_| true);
        let lasts_ms = scarcity.remaining as f64
            * scarcity.demand_fraction.max(MIN_DEMAND_FRACTION)
            / total_demand
            * 1_000.0;
        let is_most_urgent = self.demands.iter().all(|(r, _)| *r >= rank);
        if uncovered <= 0.0 || lasts_ms >= HORIZON_MS || is_most_urgent {
            return 0.0;
        }
        let less_urgent = self.demand(now_ms, |r| r > rank) / total_demand;
        let same_rank = self.demand(now_ms, |r| r == rank) / total_demand;
        ((uncovered - less_urgent) / same_rank).clamp(0.0, 1.0)
    }

    /// Returns the demand of the selected ranks, in tokens per second.
    fn demand(&self, now_ms: u64, includes: impl Fn(u8) -> bool) -> f64 {
        let demands = self.demands.iter().filter(|(rank, _)| includes(*rank));
        let sum: f64 = demands
            .map(|(_, demand)| demand.tokens_per_second(now_ms))
            .sum();
        sum.max(f64::MIN_POSITIVE)
    }

    /// Returns the fraction of the demand that is not covered for as long as callers rely on the
    /// total.
    fn uncovered_fraction(&self, scarcity: Scarcity) -> f64 {
        let Scarcity { total, lost, .. } = scarcity;
        let tolerated = total as f64 * (1.0 - RELIED_ON_FRACTION);
        let saved = self.saved_tokens as f64 / scarcity.demand_fraction.max(MIN_DEMAND_FRACTION);
        let missing = (lost as f64 - tolerated - saved).max(0.0);
        missing / (missing + scarcity.remaining as f64).max(1.0)
    }
}
