//! Report of the experiment.

use std::collections::BTreeMap;

use serde::Serialize;
use wisteriapass_daemon::api::{Ran, Reason};

use super::Violation;
use super::check::Property;
use super::observations::{CallRecord, Observations};
use crate::load::{Outcome, Work};
use crate::standin::platform::CallCounts;

/// Prompt bytes per token in the reservation of a router.
const BYTES_PER_TOKEN: u64 = 2;

/// Tokens that a router reserves per message in addition to its content.
const TOKENS_PER_MESSAGE: u64 = 16;

/// Results of the experiment.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Seed of the faults and the load.
    pub seed: u64,
    /// Duration of the load, in seconds.
    pub seconds: u64,
    /// Injected faults.
    pub faults: u64,
    /// Requests.
    pub requests: u64,
    /// Attempts of all requests.
    pub tries: u64,
    /// Requests whose last attempt was answered.
    pub answered: u64,
    /// Requests whose last attempt was refused as not run.
    pub refused: u64,
    /// Requests whose last attempt was refused with an unknown outcome.
    pub outcome_unknown: u64,
    /// Requests whose last attempt got neither answer nor refusal.
    pub lost: u64,
    /// Tokens billed in excess of the prepaid ones.
    pub overspend: u64,
    /// Requests with more than one bill.
    pub billed_twice: u64,
    /// Answers without a bill of the same amount.
    pub unbilled: u64,
    /// Non-idempotent requests that ran more than once.
    pub ran_twice: u64,
    /// Refusals as not run of requests that did run.
    pub wrong_not_run: u64,
    /// Answers that belong to another request or are incomplete.
    pub crossed: u64,
    /// Budgets whose record does not account for every token.
    pub not_conserved: u64,
    /// Requests whose first execution began too late at a draining or leaving target.
    pub work_after_leaving: u64,
    /// Reversions of a daemon to an older configuration.
    pub reverted: u64,
    /// Attempts refused for lack of budget although enough of it was unspent.
    pub false_refusals: u64,
    /// Refused attempts by reason.
    pub refusals: BTreeMap<Reason, u64>,
    /// Idempotent requests that ran more than once.
    pub ran_again: u64,
    /// Tokens stranded by dead routers.
    pub stranded: u64,
    /// Tokens recovered from dead routers.
    pub recovered: u64,
    /// Reads of the key-value service per second; each watch counts as one.
    pub kv_reads_per_s: f64,
    /// Writes to the key-value service per second, including leases.
    pub kv_writes_per_s: f64,
    /// Violated properties.
    #[serde(skip)]
    pub violations: Vec<Violation>,
}

impl Report {
    /// Summarizes observations and violations.
    pub fn new(observed: &Observations, violations: Vec<Violation>) -> Self {
        let sum = |property| {
            let matching = violations.iter().filter(|v| v.property == property);
            matching.map(|v| v.amount).sum()
        };
        let mut report = Self {
            requests: observed.calls.len() as u64,
            overspend: sum(Property::Overspend),
            billed_twice: sum(Property::BilledTwice),
            unbilled: sum(Property::Unbilled),
            ran_twice: sum(Property::RanTwice),
            wrong_not_run: sum(Property::WrongNotRun),
            crossed: sum(Property::Crossed),
            not_conserved: sum(Property::NotConserved),
            work_after_leaving: sum(Property::WorkAfterLeaving),
            reverted: sum(Property::Reverted),
            stranded: observed.totals.iter().map(|t| t.stranded.0).sum(),
            recovered: observed.totals.iter().map(|t| t.recovered.0).sum(),
            ..Self::default()
        };
        for record in observed.calls.values() {
            report.add_call(observed, record);
        }
        report.violations = violations;
        report
    }

    /// Sets the rates of calls to the key-value service, from its counters before and after.
    pub fn with_rates(mut self, before: CallCounts, after: CallCounts, seconds: f64) -> Self {
        let reads = after.reads + after.watches - before.reads - before.watches;
        let writes = after.writes + after.leases - before.writes - before.leases;
        self.kv_reads_per_s = round_to_tenths(reads as f64 / seconds);
        self.kv_writes_per_s = round_to_tenths(writes as f64 / seconds);
        self
    }

    /// Formats the report as JSON, on a single line if `as_json` is set.
    pub fn text(&self, as_json: bool) -> String {
        if as_json {
            return serde_json::to_string(self).unwrap_or_default();
        }
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    fn add_call(&mut self, observed: &Observations, record: &CallRecord) {
        self.tries += record.attempts.len() as u64;
        match record.attempts.last().map(|t| &t.outcome) {
            Some(Outcome::Answered(_)) => self.answered += 1,
            Some(Outcome::Refused(r)) if r.refusal.ran == Ran::OutcomeUnknown => {
                self.outcome_unknown += 1;
            }
            Some(Outcome::Refused(_)) => self.refused += 1,
            Some(Outcome::Lost(_)) | None => self.lost += 1,
        }
        let runs = record
            .run_id()
            .and_then(|run| observed.executions.get(&run));
        let ran_again = !record.call.non_idempotent && runs.is_some_and(|r| r.len() > 1);
        self.ran_again += u64::from(ran_again);
        let account = &record.call.account;
        for attempt in &record.attempts {
            let reason = attempt.outcome.refused().map(|r| r.refusal.reason);
            if let Some(reason) = reason {
                *self.refusals.entry(reason).or_default() += 1;
            }
            let is_budget_refusal = matches!(
                reason,
                Some(Reason::BudgetExhausted | Reason::BudgetUnreachable | Reason::MoneyFenced)
            );
            let unspent = observed
                .prepaid_until(account, attempt.sent_us)
                .saturating_sub(observed.billed_until(account, attempt.ended_us));
            self.false_refusals += u64::from(is_budget_refusal && unspent >= reservation(record));
        }
    }
}

/// Returns the tokens that a router reserves for a call.
fn reservation(record: &CallRecord) -> u64 {
    match &record.call.work {
        Work::Chat(chat) => {
            let prompt = (chat.prompt.len() as u64).div_ceil(BYTES_PER_TOKEN);
            prompt + TOKENS_PER_MESSAGE + u64::from(chat.max_tokens)
        }
        Work::Service(_) => 0,
    }
}

fn round_to_tenths(rate: f64) -> f64 {
    (rate * 10.0).round() / 10.0
}
