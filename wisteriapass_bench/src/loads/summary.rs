//! Figures of a play, or their medians over several.

use std::collections::BTreeMap;

use serde::Serialize;
use wisteriapass_policy::Refusal;

use super::arrivals::{ACCOUNTS, weight};
use super::tally::Tally;
use super::{MEASURE_SECS, Pattern, Policy};

/// Figures of a play, or their medians over several.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Pattern played.
    pub pattern: String,
    /// Seed, or the first of several.
    pub seed: u64,
    /// Policy that decided.
    pub policy: String,
    /// Tokens of answers completed within their deadline, a second.
    pub goodput: f64,
    /// What the pool could do at all with the same requests, in tokens a second.
    pub bound: f64,
    /// Least share that an account got of its fair part of the bound; one is all of it.
    pub worst_share: f64,
    /// What each account got of its fair part of the bound.
    pub share_by_account: [f64; ACCOUNTS],
    /// 95th percentile of interactive work's time to first token, in milliseconds.
    pub p95_first_token_ms: f64,
    /// Requests refused.
    pub refused: f64,
    /// Share of the callers that came back as told that were answered in time.
    pub come_back_right: f64,
    /// Callers that came back as told before the arrivals ended.
    pub came_back: f64,
    /// Tokens generated for nobody.
    pub wasted_tokens: f64,
    /// Share of the slots of well targets that was busy.
    pub busy: f64,
    /// Share of the prompts with a shared prefix whose target held it.
    pub prefix_held: f64,
    /// Requests answered in time.
    pub answered: f64,
    /// Requests cut off at their deadline.
    pub cut_off: f64,
    /// Tokens in time a second by class: interactive, standard, batch.
    pub goodput_by_class: [f64; 3],
    /// Median time to first token by class, in milliseconds.
    pub p50_by_class_ms: [f64; 3],
    /// 95th percentile of the time to first token by class, in milliseconds.
    pub p95_by_class_ms: [f64; 3],
    /// 99th percentile of the time to first token by class, in milliseconds.
    pub p99_by_class_ms: [f64; 3],
    /// 95th percentile of the time from arrival to refusal, in milliseconds.
    pub p95_refused_after_ms: f64,
    /// Refusals by reason.
    pub refused_by_reason: BTreeMap<String, f64>,
}

impl Summary {
    /// Sums a play up.
    pub(super) fn new(
        pattern: Pattern,
        policy: Policy,
        seed: u64,
        tally: &Tally,
        bound: f64,
    ) -> Self {
        let per_s = |tokens: f64| tokens / MEASURE_SECS;
        let percentile =
            |q: f64| [0, 1, 2].map(|c| tally.first_token[c].value_at_quantile(q) as f64);
        let shares = shares(tally, bound);
        let reasons = Refusal::ALL
            .iter()
            .zip(tally.refused)
            .filter(|(_, n)| *n > 0);
        Self {
            pattern: pattern.to_string(),
            seed,
            policy: policy.to_string(),
            goodput: per_s(tally.done.iter().sum()),
            bound: per_s(bound),
            worst_share: shares.iter().copied().fold(f64::MAX, f64::min),
            share_by_account: shares,
            p95_first_token_ms: percentile(0.95)[0],
            refused: tally.refused.iter().sum::<u64>() as f64,
            come_back_right: match tally.returned {
                0 => 1.0,
                n => tally.returned_well as f64 / n as f64,
            },
            came_back: tally.returned as f64,
            wasted_tokens: tally.wasted,
            busy: tally.busy[0] / tally.busy[1].max(1.0),
            prefix_held: tally.held[0] / tally.held[1].max(1.0),
            answered: tally.answered as f64,
            cut_off: tally.cut as f64,
            goodput_by_class: tally.done.map(per_s),
            p50_by_class_ms: percentile(0.5),
            p95_by_class_ms: percentile(0.95),
            p99_by_class_ms: percentile(0.99),
            p95_refused_after_ms: tally.refused_after.value_at_quantile(0.95) as f64,
            refused_by_reason: reasons.map(|(r, n)| (r.to_string(), n as f64)).collect(),
        }
    }

    /// Returns the median of each figure.
    pub(super) fn median(all: &[Self]) -> Self {
        let mid = |get: &dyn Fn(&Self) -> f64| middle(all.iter().map(get).collect());
        let mid3 = |get: &dyn Fn(&Self) -> [f64; 3]| [0, 1, 2].map(|c| mid(&|s| get(s)[c]));
        let reasons = all.iter().flat_map(|s| s.refused_by_reason.keys().cloned());
        let by_reason = |name: String| {
            let n = mid(&|s| s.refused_by_reason.get(&name).copied().unwrap_or(0.0));
            (name, n)
        };
        Self {
            pattern: all[0].pattern.clone(),
            seed: all[0].seed,
            policy: all[0].policy.clone(),
            goodput: mid(&|s| s.goodput),
            bound: mid(&|s| s.bound),
            worst_share: mid(&|s| s.worst_share),
            share_by_account: std::array::from_fn(|a| mid(&|s| s.share_by_account[a])),
            p95_first_token_ms: mid(&|s| s.p95_first_token_ms),
            refused: mid(&|s| s.refused),
            come_back_right: mid(&|s| s.come_back_right),
            came_back: mid(&|s| s.came_back),
            wasted_tokens: mid(&|s| s.wasted_tokens),
            busy: mid(&|s| s.busy),
            prefix_held: mid(&|s| s.prefix_held),
            answered: mid(&|s| s.answered),
            cut_off: mid(&|s| s.cut_off),
            goodput_by_class: mid3(&|s| s.goodput_by_class),
            p50_by_class_ms: mid3(&|s| s.p50_by_class_ms),
            p95_by_class_ms: mid3(&|s| s.p95_by_class_ms),
            p99_by_class_ms: mid3(&|s| s.p99_by_class_ms),
            p95_refused_after_ms: mid(&|s| s.p95_refused_after_ms),
            refused_by_reason: reasons.map(by_reason).collect(),
        }
    }

    /// Returns the figures as one JSON line.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_else(|e| format!("{{\"error\":\"{e}\"}}"))
    }
}

/// Returns the middle value.
fn middle(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Returns what each account got of its fair share of the bound.
fn shares(tally: &Tally, bound: f64) -> [f64; ACCOUNTS] {
    // More than the bound may be answered to what arrived, if the queue grew meanwhile.
    let whole = bound.max(tally.good.iter().sum());
    let fair = fair_shares(&tally.asked, whole);
    std::array::from_fn(|a| tally.good[a] / fair[a].max(1.0))
}

/// Returns each account's weighted share of what there is; what one does not ask for is lent.
fn fair_shares(asked: &[f64; ACCOUNTS], whole: f64) -> [f64; ACCOUNTS] {
    let mut fair = [0.0; ACCOUNTS];
    let mut open: Vec<usize> = (0..ACCOUNTS).collect();
    let mut left = whole;
    loop {
        let weights: f64 = open.iter().map(|&a| f64::from(weight(a))).sum();
        let level = left / weights.max(1e-9);
        let content = |a: &usize| asked[*a] <= level * f64::from(weight(*a));
        let (done, rest): (Vec<usize>, Vec<usize>) = open.into_iter().partition(content);
        for &a in &done {
            fair[a] = asked[a];
            left -= asked[a];
        }
        if done.is_empty() || rest.is_empty() {
            rest.iter()
                .for_each(|&a| fair[a] = level * f64::from(weight(a)));
            return fair;
        }
        open = rest;
    }
}
