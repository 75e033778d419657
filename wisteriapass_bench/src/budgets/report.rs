//! Figures of a play.

use serde::Serialize;

use super::Scenario;
use super::load::{Load, Request};
use super::scenario::{BUDGETS, DURATION_MS};

/// Share of a budget under which it counts as nearly empty.
const NEARLY_EMPTY: f64 = 0.05;

/// What one way of spending did.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Metrics {
    /// Requests.
    pub requests: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests made while at least a twentieth of the budget was left.
    pub with_plenty: u64,
    /// Those of them refused though the money was there.
    pub false_with_plenty: u64,
    /// Requests refused though the money was there, while less was left.
    pub false_nearly_empty: u64,
    /// Tokens spent past what was prepaid.
    pub overspend: u64,
    /// Tokens that a dead router took with it for good.
    pub stranded: u64,
    /// Tokens of a dead router that came back.
    pub recovered: u64,
    /// Reads of the key-value service a second.
    pub reads_per_s: f64,
    /// Writes to the key-value service a second.
    pub writes_per_s: f64,
}

/// Figures of both ways over the same requests.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// What befell the fleet.
    pub scenario: Scenario,
    /// Seed of the requests.
    pub seed: u64,
    /// Escrow with grants.
    pub escrow: Metrics,
    /// Equal static split of each top-up.
    pub split: Metrics,
}

impl Comparison {
    /// Returns the figures as a line of JSON or of text.
    pub fn text(&self, as_json: bool) -> String {
        if as_json {
            return serde_json::to_string(self).unwrap_or_default();
        }
        let way = |f: &Metrics| {
            format!(
                "refused {} of {}, falsely {} of {} with 5% left and {} below, overspend {}, \
                 stranded {}, recovered {}, reads/s {}, writes/s {}",
                f.refused,
                f.requests,
                f.false_with_plenty,
                f.with_plenty,
                f.false_nearly_empty,
                f.overspend,
                f.stranded,
                f.recovered,
                f.reads_per_s,
                f.writes_per_s
            )
        };
        format!(
            "{}, seed {}\n  escrow: {}\n  split:  {}",
            self.scenario,
            self.seed,
            way(&self.escrow),
            way(&self.split)
        )
    }
}

/// What is known of the budgets by someone who sees everything.
pub struct GroundTruth {
    prepaid: [u64; BUDGETS],
    spent: [u64; BUDGETS],
    figures: Metrics,
}

impl GroundTruth {
    /// Starts with empty budgets.
    pub fn new() -> Self {
        Self {
            prepaid: [0; BUDGETS],
            spent: [0; BUDGETS],
            figures: Metrics::default(),
        }
    }

    /// Adds money.
    pub fn add_prepaid(&mut self, budget: usize, tokens: u64) {
        self.prepaid[budget] += tokens;
    }

    /// Judges an accepted or refused request; what it costs is known here at once.
    pub fn record_decision(&mut self, req: &Request, accepted: bool) {
        let (prepaid, spent) = (self.prepaid[req.budget], self.spent[req.budget]);
        let left = prepaid.saturating_sub(spent);
        let is_plenty = left as f64 >= prepaid as f64 * NEARLY_EMPTY;
        let f = &mut self.figures;
        f.requests += 1;
        f.with_plenty += u64::from(is_plenty);
        if accepted {
            self.spent[req.budget] += req.actual_cost;
            return;
        }
        f.refused += 1;
        if left < req.max_cost {
            return;
        }
        if is_plenty {
            f.false_with_plenty += 1;
        } else {
            f.false_nearly_empty += 1;
        }
    }

    /// Returns the figures with what was overspent.
    pub fn into_metrics(self) -> Metrics {
        let over = self.prepaid.iter().zip(&self.spent);
        Metrics {
            overspend: over.map(|(p, s)| s.saturating_sub(*p)).sum(),
            ..self.figures
        }
    }
}

/// Returns a count as a rate over the play, to a hundredth.
pub fn per_second(count: u64) -> f64 {
    let rate = count as f64 * 1_000.0 / DURATION_MS as f64;
    (rate * 100.0).round() / 100.0
}

/// Returns the top-ups that fall due by a time, from a place in their list on.
pub fn due_topups<'a>(load: &'a Load, place: &mut usize, now_ms: u64) -> &'a [super::load::TopUp] {
    let from = *place;
    while load.topups.get(*place).is_some_and(|t| t.at_ms <= now_ms) {
        *place += 1;
    }
    &load.topups[from..*place]
}
