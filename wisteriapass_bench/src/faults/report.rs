//! What one run of the experiment found.

use std::collections::BTreeMap;

use serde::Serialize;
use wisteriapass_daemon::api::{Ran, Reason};

use super::Violation;
use super::check::Property;
use super::facts::{CallRecord, Observations};
use crate::load::{Outcome, Work};
use crate::standin::platform::Counts;

/// Bytes of prompt that make at least one token, as routers reserve.
const BYTES_PER_TOKEN: u64 = 2;

/// Tokens that routers reserve around each message.
const TOKENS_PER_MESSAGE: u64 = 16;

/// Figures of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Seed of faults and load.
    pub seed: u64,
    /// Length of the load, in seconds.
    pub seconds: u64,
    /// Faults brought about.
    pub faults: u64,
    /// Requests.
    pub requests: u64,
    /// Tries of them.
    pub tries: u64,
    /// Requests whose last try was answered.
    pub answered: u64,
    /// Requests whose last try was refused and did not run.
    pub refused: u64,
    /// Requests whose last try's outcome is unknown.
    pub outcome_unknown: u64,
    /// Requests whose last try got neither answer nor refusal.
    pub lost: u64,
    /// Tokens billed past what was prepaid.
    pub overspend: u64,
    /// Requests with two bills.
    pub billed_twice: u64,
    /// Answers without their bill.
    pub unbilled: u64,
    /// Requests that ran twice and may not.
    pub ran_twice: u64,
    /// Times that "not run" was wrong.
    pub wrong_not_run: u64,
    /// Answers that are another's or not whole.
    pub crossed: u64,
    /// Budgets whose record does not add up.
    pub not_conserved: u64,
    /// New work that a target began after it was told to leave.
    pub work_after_leaving: u64,
    /// Times that a daemon went back to an older configuration.
    pub reverted: u64,
    /// Tries refused for lack of money that nobody had spent.
    pub false_refusals: u64,
    /// Tries refused, by reason.
    pub refusals: BTreeMap<Reason, u64>,
    /// Idempotent requests that ran more than once.
    pub ran_again: u64,
    /// Tokens stranded by dead routers.
    pub stranded: u64,
    /// Tokens that came back from dead routers.
    pub recovered: u64,
    /// Reads of the key-value service a second, waiting watches counted as one each.
    pub kv_reads_per_s: f64,
    /// Writes to the key-value service a second, leases included.
    pub kv_writes_per_s: f64,
    /// Broken properties.
    #[serde(skip)]
    pub violations: Vec<Violation>,
}

impl Report {
    /// Sums up facts and broken properties.
    pub fn new(facts: &Observations, violations: Vec<Violation>) -> Self {
        let sum = |property| {
            let of = violations.iter().filter(|v| v.property == property);
            of.map(|v| v.amount).sum()
        };
        let mut report = Self {
            requests: facts.calls.len() as u64,
            overspend: sum(Property::Overspend),
            billed_twice: sum(Property::BilledTwice),
            unbilled: sum(Property::Unbilled),
            ran_twice: sum(Property::RanTwice),
            wrong_not_run: sum(Property::WrongNotRun),
            crossed: sum(Property::Crossed),
            not_conserved: sum(Property::NotConserved),
            work_after_leaving: sum(Property::WorkAfterLeaving),
            reverted: sum(Property::Reverted),
            stranded: facts.totals.iter().map(|t| t.stranded.0).sum(),
            recovered: facts.totals.iter().map(|t| t.recovered.0).sum(),
            ..Self::default()
        };
        for asked in facts.calls.values() {
            report.count(facts, asked);
        }
        report.violations = violations;
        report
    }

    /// Sets the rates of calls to the key-value service.
    pub fn with_rates(mut self, before: Counts, after: Counts, seconds: f64) -> Self {
        let reads = after.reads + after.watches - before.reads - before.watches;
        let writes = after.writes + after.leases - before.writes - before.leases;
        self.kv_reads_per_s = tenths(reads as f64 / seconds);
        self.kv_writes_per_s = tenths(writes as f64 / seconds);
        self
    }

    /// Returns the figures as one line of JSON, or one a line.
    pub fn text(&self, as_json: bool) -> String {
        if as_json {
            return serde_json::to_string(self).unwrap_or_default();
        }
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    fn count(&mut self, facts: &Observations, asked: &CallRecord) {
        self.tries += asked.attempts.len() as u64;
        match asked.attempts.last().map(|t| &t.outcome) {
            Some(Outcome::Answered(_)) => self.answered += 1,
            Some(Outcome::Refused(r)) if r.refusal.ran == Ran::OutcomeUnknown => {
                self.outcome_unknown += 1;
            }
            Some(Outcome::Refused(_)) => self.refused += 1,
            Some(Outcome::Lost(_)) | None => self.lost += 1,
        }
        let runs = asked.run_id().and_then(|run| facts.executions.get(&run));
        let ran_again = !asked.call.non_idempotent && runs.is_some_and(|r| r.len() > 1);
        self.ran_again += u64::from(ran_again);
        let account = &asked.call.account;
        for tried in &asked.attempts {
            let reason = tried.outcome.refused().map(|r| r.refusal.reason);
            if let Some(reason) = reason {
                *self.refusals.entry(reason).or_default() += 1;
            }
            let for_money = matches!(
                reason,
                Some(Reason::BudgetExhausted | Reason::BudgetUnreachable | Reason::MoneyFenced)
            );
            let left = facts
                .prepaid_until(account, tried.sent_us)
                .saturating_sub(facts.billed_until(account, tried.ended_us));
            self.false_refusals += u64::from(for_money && left >= worst(asked));
        }
    }
}

/// Returns what a router reserves for a call.
fn worst(asked: &CallRecord) -> u64 {
    match &asked.call.work {
        Work::Chat(chat) => {
            let prompt = (chat.prompt.len() as u64).div_ceil(BYTES_PER_TOKEN);
            prompt + TOKENS_PER_MESSAGE + u64::from(chat.max_tokens)
        }
        Work::Service(_) => 0,
    }
}

fn tenths(rate: f64) -> f64 {
    (rate * 10.0).round() / 10.0
}
