//! What an account saves after money of it died with routers.
//!
//! What is lost is missing at the end of a total: there every caller of the account is refused,
//! whatever its rank, for as long as callers count on the total. Answers that load: from the loss on,
//! the part of the draw that the rest of the total cannot cover is refused, the least urgent first, so
//! that the urgent are served for as long as callers count on it. What was refused pays the loss off.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::prepaid::DemandMeter;

/// Part of a total that callers count on.
const COUNTED_ON: f64 = 0.97;

/// Time for which what is left has to last at the least, in milliseconds of the draw, for nothing to
/// be saved.
const HORIZON_MS: f64 = 12_000.0;

/// Smallest part of an account's draw that one relay is taken to have.
const LEAST_PART: f64 = 0.02;

/// How often a caller sends a request that is refused: once more.
const SENT: u64 = 2;

/// A request that wants tokens of an account.
#[derive(Clone, Copy, Debug)]
pub struct TokenRequest<'a> {
    /// Account.
    pub account: &'a str,
    /// Rank of the request, 0 first.
    pub rank: u8,
    /// The most that it can cost, in tokens.
    pub max_cost: u64,
}

/// How an account stands, as one relay sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Scarcity {
    /// Total, in tokens.
    pub total: u64,
    /// What is neither known to be spent nor lost, in tokens.
    pub remaining: u64,
    /// What died with routers, in tokens.
    pub lost: u64,
    /// Part of the account's draw that this relay has.
    pub demand_fraction: f64,
}

/// Draw by rank, and what was saved.
#[derive(Clone, Debug, Default)]
struct Saving {
    draws: SmallVec<[(u8, DemandMeter); 4]>,
    saved: u64,
}

/// What one relay saves, by account.
#[derive(Clone, Debug, Default)]
pub struct Rationing {
    accounts: BTreeMap<String, Saving>,
}

impl Rationing {
    /// Returns whether a request is refused for more urgent ones; `draw` is drawn from 0 to 1.
    ///
    /// To be asked once for each request, as the draw by rank is learnt from it.
    pub fn should_refuse(
        &mut self,
        now_ms: u64,
        asked: TokenRequest<'_>,
        scarcity: Scarcity,
        draw: f64,
    ) -> bool {
        let saving = self.accounts.entry(asked.account.to_owned()).or_default();
        saving.add(now_ms, asked);
        let is_refused = draw < saving.refused_part(now_ms, asked.rank, scarcity);
        if is_refused {
            saving.saved += asked.max_cost / SENT;
        }
        is_refused
    }
}

impl Saving {
    fn add(&mut self, now_ms: u64, asked: TokenRequest<'_>) {
        let known = self.draws.iter().position(|(rank, _)| *rank == asked.rank);
        let at = known.unwrap_or_else(|| {
            self.draws.push((asked.rank, DemandMeter::default()));
            self.draws.len() - 1
        });
        self.draws[at].1.add(now_ms, asked.max_cost);
    }

    /// Returns the part of the requests of a rank that are refused.
    fn refused_part(&self, now_ms: u64, rank: u8, scarcity: Scarcity) -> f64 {
        let short = self.short_part(scarcity);
        let all = self.draw(now_ms, |_| true);
        let lasts_ms =
            scarcity.remaining as f64 * scarcity.demand_fraction.max(LEAST_PART) / all * 1_000.0;
        let is_most_urgent = self.draws.iter().all(|(r, _)| *r >= rank);
        if short <= 0.0 || lasts_ms >= HORIZON_MS || is_most_urgent {
            return 0.0;
        }
        let less_urgent = self.draw(now_ms, |r| r > rank) / all;
        let same = self.draw(now_ms, |r| r == rank) / all;
        ((short - less_urgent) / same).clamp(0.0, 1.0)
    }

    /// Returns the draw of some ranks, in tokens a second.
    fn draw(&self, now_ms: u64, fits: impl Fn(u8) -> bool) -> f64 {
        let draws = self.draws.iter().filter(|(rank, _)| fits(*rank));
        let sum: f64 = draws.map(|(_, draw)| draw.tokens_per_second(now_ms)).sum();
        sum.max(f64::MIN_POSITIVE)
    }

    /// Returns the part of the draw that is not covered until callers count on no more.
    fn short_part(&self, scarcity: Scarcity) -> f64 {
        let Scarcity { total, lost, .. } = scarcity;
        let unnoticed = total as f64 * (1.0 - COUNTED_ON);
        let saved = self.saved as f64 / scarcity.demand_fraction.max(LEAST_PART);
        let missing = (lost as f64 - unnoticed - saved).max(0.0);
        missing / (missing + scarcity.remaining as f64).max(1.0)
    }
}
