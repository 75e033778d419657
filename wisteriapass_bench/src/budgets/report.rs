//! Results of a simulation.

use serde::Serialize;

use super::Scenario;
use super::load::{Load, Request};
use super::scenario::{BUDGETS, DURATION_MS};

/// Share of the prepaid tokens below which a budget counts as nearly empty.
const NEARLY_EMPTY_SHARE: f64 = 0.05;

/// Results of escrow or of the static split.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Metrics {
    /// Number of requests.
    pub requests: u64,
    /// Number of refused requests.
    pub refused: u64,
    /// Requests that arrived while at least 5% of the budget was left.
    pub with_plenty: u64,
    /// Those of them that were refused although the budget covered them.
    pub false_with_plenty: u64,
    /// Requests refused although the budget covered them, while less than 5% was left.
    pub false_nearly_empty: u64,
    /// Tokens spent beyond the prepaid tokens.
    pub overspend: u64,
    /// Tokens permanently lost with a dead router.
    pub stranded: u64,
    /// Tokens recovered from a dead router.
    pub recovered: u64,
    /// Reads from the key-value service per second.
    pub reads_per_s: f64,
    /// Writes to the key-value service per second.
    pub writes_per_s: f64,
}

/// Results of escrow and of the static split over the same requests.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Simulated scenario.
    pub scenario: Scenario,
    /// Random seed for the requests.
    pub seed: u64,
    /// Results of escrow with grants.
    pub escrow: Metrics,
    /// Results of an equal static split of each top-up.
    pub split: Metrics,
}

impl Comparison {
    /// Formats the results as one line of JSON or as text.
    pub fn text(&self, as_json: bool) -> String {
        if as_json {
            return serde_json::to_string(self).unwrap_or_default();
        }
        let format_metrics = |f: &Metrics| {
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
            format_metrics(&self.escrow),
            format_metrics(&self.split)
        )
    }
}

/// True state of the budgets, against which the decisions of the routers are judged.
pub struct GroundTruth {
    prepaid: [u64; BUDGETS],
    spent: [u64; BUDGETS],
    metrics: Metrics,
}

impl GroundTruth {
    /// Creates empty budgets.
    pub fn new() -> Self {
        Self {
            prepaid: [0; BUDGETS],
            spent: [0; BUDGETS],
            metrics: Metrics::default(),
        }
    }

    /// Adds prepaid tokens to a budget.
    pub fn add_prepaid(&mut self, budget: usize, tokens: u64) {
        self.prepaid[budget] += tokens;
    }

    /// Records an accepted or refused request and counts false refusals.
    ///
    /// The actual cost of an accepted request counts as spent at once.
    pub fn record_decision(&mut self, req: &Request, accepted: bool) {
        let (prepaid, spent) = (self.prepaid[req.budget], self.spent[req.budget]);
        let left = prepaid.saturating_sub(spent);
        let has_plenty = left as f64 >= prepaid as f64 * NEARLY_EMPTY_SHARE;
        let f = &mut self.metrics;
        f.requests += 1;
        f.with_plenty += u64::from(has_plenty);
        if accepted {
            self.spent[req.budget] += req.actual_cost;
            return;
        }
        f.refused += 1;
        if left < req.max_cost {
            return;
        }
        if has_plenty {
            f.false_with_plenty += 1;
        } else {
            f.false_nearly_empty += 1;
        }
    }

    /// Returns the results, with the overspend added.
    pub fn into_metrics(self) -> Metrics {
        let totals = self.prepaid.iter().zip(&self.spent);
        Metrics {
            overspend: totals.map(|(p, s)| s.saturating_sub(*p)).sum(),
            ..self.metrics
        }
    }
}

/// Returns the mean rate of a count over the simulation, rounded to two decimals.
pub fn per_second(count: u64) -> f64 {
    let rate = count as f64 * 1_000.0 / DURATION_MS as f64;
    (rate * 100.0).round() / 100.0
}

/// Returns the top-ups due by `now_ms` and advances `next_topup` past them.
pub fn due_topups<'a>(
    load: &'a Load,
    next_topup: &mut usize,
    now_ms: u64,
) -> &'a [super::load::TopUp] {
    let start = *next_topup;
    while load
        .topups
        .get(*next_topup)
        .is_some_and(|t| t.at_ms <= now_ms)
    {
        *next_topup += 1;
    }
    &load.topups[start..*next_topup]
}
