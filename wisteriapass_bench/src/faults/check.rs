//! Properties that every run must satisfy, each with its check over the observations.

use derive_more::Display;
use wisteriapass_coord::once::Bill;
use wisteriapass_daemon::api::Ran;

use super::observations::{CallRecord, LeavingPeriod, Observations};
use crate::load::{Answered, CallId, Outcome, Work};

/// Tolerance when a target's time is compared with the history's, in microseconds: both are
/// rounded to a millisecond.
const CLOCK_TOLERANCE_US: u64 = 3_000;

/// Time after which a leaving target must not begin new work, in microseconds.
const LEAVE_GRACE_US: u64 = 3_000_000;

/// A property that must always hold.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Property {
    /// The bills of an account never exceed its prepaid tokens.
    #[display("overspend")]
    Overspend,
    /// No request is billed twice.
    #[display("billed_twice")]
    BilledTwice,
    /// Every answer is billed at the amount that it reports to the caller.
    #[display("unbilled")]
    Unbilled,
    /// Every answer is complete and belongs to the request that it was sent for.
    #[display("crossed")]
    Crossed,
    /// A request refused as not run has not run, and does not run unless it is sent again.
    #[display("wrong_not_run")]
    WrongNotRun,
    /// A non-idempotent request runs at most once.
    #[display("ran_twice")]
    RanTwice,
    /// The budget records account for every token.
    #[display("not_conserved")]
    NotConserved,
    /// A draining or leaving target begins no new work.
    #[display("work_after_leaving")]
    WorkAfterLeaving,
    /// No daemon reverts to an older configuration.
    #[display("reverted")]
    Reverted,
}

/// A violated property, with the trace of the request involved.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("BROKEN {property}: {description}\n{trace}")]
pub struct Violation {
    /// Violated property.
    pub property: Property,
    /// Overspent tokens for [`Property::Overspend`], 1 for all other properties.
    pub amount: u64,
    /// What was observed instead.
    pub description: String,
    /// What callers, targets and bills say about the request.
    pub trace: String,
}

/// Checks all properties.
pub fn check(observed: &Observations) -> Vec<Violation> {
    let mut violations = check_overspend(observed);
    violations.extend(check_conservation(observed));
    violations.extend(check_billed_once(observed));
    violations.extend(check_work_after_leaving(observed));
    violations.extend(check_revisions(observed));
    for (id, record) in &observed.calls {
        violations.extend(check_answers_billed(observed, *id, record));
        violations.extend(check_answers(observed, *id, record));
        violations.extend(check_not_run(observed, *id, record));
        violations.extend(check_runs_once(observed, *id, record));
    }
    violations
}

/// Property 1: compares the bills of each account with its top-ups.
fn check_overspend(observed: &Observations) -> Vec<Violation> {
    let over = observed.top_ups.keys().filter_map(|account| {
        let billed = observed.billed_until(account, u64::MAX);
        let prepaid = observed.prepaid_until(account, u64::MAX);
        (billed > prepaid).then(|| Violation {
            property: Property::Overspend,
            amount: billed - prepaid,
            description: format!("account {account} was billed {billed} of {prepaid} prepaid"),
            trace: String::new(),
        })
    });
    over.collect()
}

/// Property 1 in the budget records: free, outstanding, spent and stranded tokens add up to the
/// prepaid ones.
fn check_conservation(observed: &Observations) -> Vec<Violation> {
    let wrong = observed.totals.iter().filter(|t| {
        let sum = t.free.0 + t.spent.0 + t.outstanding.0 + t.stranded.0;
        sum != t.prepaid.0
    });
    let violation = |description| Violation {
        property: Property::NotConserved,
        amount: 1,
        description,
        trace: String::new(),
    };
    wrong.map(|t| violation(format!("{t:?}"))).collect()
}

/// Property 2: a request has at most one bill.
fn check_billed_once(observed: &Observations) -> Vec<Violation> {
    let twice = observed.bills.iter().filter(|(_, bills)| bills.len() > 1);
    let violation = |(run, bills): (&String, &Vec<Bill>)| Violation {
        property: Property::BilledTwice,
        amount: 1,
        description: format!("{run}: {bills:?}"),
        trace: trace_of_run(observed, run),
    };
    twice.map(violation).collect()
}

/// Property 2: the billed amount is the one in the answer.
fn check_answers_billed(
    observed: &Observations,
    id: CallId,
    record: &CallRecord,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for answered in answers(record) {
        let Some(reported) = answered.billed_tokens.filter(|t| *t > 0) else {
            continue;
        };
        let bills = observed.bills.get(&answered.run);
        let billed = bills.and_then(|b| b.first()).map(|b| b.amount.0);
        if billed != Some(reported) {
            let description =
                format!("call {id} reported {reported} billed tokens, its bill has {billed:?}");
            violations.push(violation(observed, Property::Unbilled, description, record));
        }
    }
    violations
}

/// Only the first execution of a run ID is new work; later ones repeat a known key.
fn check_work_after_leaving(observed: &Observations) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (id, runs) in &observed.executions {
        let Some(first) = runs.iter().min_by_key(|r| r.started_us) else {
            continue;
        };
        let is_late = |l: &&LeavingPeriod| {
            let is_after = first.started_us > l.from_us + LEAVE_GRACE_US + CLOCK_TOLERANCE_US;
            l.target == first.target
                && is_after
                && first.started_us + CLOCK_TOLERANCE_US < l.until_us
        };
        if let Some(leaving) = observed.leaving_periods.iter().find(is_late) {
            violations.push(Violation {
                property: Property::WorkAfterLeaving,
                amount: 1,
                description: format!("{id} began as {first:?} after {leaving:?}"),
                trace: trace_of_run(observed, id),
            });
        }
    }
    violations
}

/// Each daemon replaces its configuration only by newer ones.
fn check_revisions(observed: &Observations) -> Vec<Violation> {
    let violation = |rollback| Violation {
        property: Property::Reverted,
        amount: 1,
        description: format!("{rollback:?}"),
        trace: String::new(),
    };
    observed.rollbacks.iter().map(violation).collect()
}

/// Property 3: an answer is complete and belongs to its request.
fn check_answers(observed: &Observations, id: CallId, record: &CallRecord) -> Vec<Violation> {
    let mut violations = Vec::new();
    for answered in answers(record) {
        let is_own = record.run_id().is_none_or(|run| run == answered.run);
        if !answered.is_expected || !is_own {
            let description = format!("call {id} got {answered:?}");
            violations.push(violation(observed, Property::Crossed, description, record));
        }
    }
    violations
}

/// Property 4: a request refused as not run has not run and does not run before its next attempt.
fn check_not_run(observed: &Observations, id: CallId, record: &CallRecord) -> Vec<Violation> {
    let Some(runs) = record
        .run_id()
        .and_then(|run| observed.executions.get(&run))
    else {
        return Vec::new();
    };
    let mut violations = Vec::new();
    for (n, attempt) in record.attempts.iter().enumerate() {
        let refused = attempt.outcome.refused();
        if refused.is_none_or(|r| r.refusal.ran != Ran::NotRun) {
            continue;
        }
        let next_us = record.attempts.get(n + 1).map_or(u64::MAX, |a| a.sent_us);
        let is_wrong = |started: u64| {
            let before = started + CLOCK_TOLERANCE_US < attempt.ended_us;
            let later = started > attempt.ended_us + CLOCK_TOLERANCE_US
                && started + CLOCK_TOLERANCE_US < next_us;
            before || later
        };
        if let Some(run) = runs.iter().find(|r| is_wrong(r.started_us)) {
            let description = format!("call {id}, attempt {}: ran as {run:?}", n + 1);
            violations.push(violation(
                observed,
                Property::WrongNotRun,
                description,
                record,
            ));
        }
    }
    violations
}

/// Property 5: a non-idempotent request runs at most once.
fn check_runs_once(observed: &Observations, id: CallId, record: &CallRecord) -> Vec<Violation> {
    let runs = record
        .run_id()
        .and_then(|run| observed.executions.get(&run));
    match runs {
        Some(runs) if record.call.non_idempotent && runs.len() > 1 => {
            let description = format!("call {id} ran {} times", runs.len());
            vec![violation(observed, Property::RanTwice, description, record)]
        }
        _ => Vec::new(),
    }
}

fn answers(record: &CallRecord) -> impl Iterator<Item = &Answered> {
    record.attempts.iter().filter_map(|a| a.outcome.answered())
}

fn violation(
    observed: &Observations,
    property: Property,
    description: String,
    record: &CallRecord,
) -> Violation {
    Violation {
        property,
        amount: 1,
        description,
        trace: trace(observed, record),
    }
}

fn trace_of_run(observed: &Observations, run: &str) -> String {
    let matches_run = |record: &&CallRecord| {
        let by_key = record.run_id().as_deref() == Some(run);
        by_key || answers(record).any(|a| a.run == run)
    };
    let record = observed.calls.values().find(matches_run);
    record.map(|r| trace(observed, r)).unwrap_or_default()
}

/// Formats the attempts, executions and bills of a request, one per line.
fn trace(observed: &Observations, record: &CallRecord) -> String {
    let content = match &record.call.work {
        Work::Chat(chat) => &chat.prompt,
        Work::Service(service) => &service.path,
    };
    let mut lines = vec![format!("  {} {content}", record.call.account)];
    for attempt in &record.attempts {
        let outcome = match &attempt.outcome {
            Outcome::Refused(r) => format!("{} {}", r.status, r.refusal),
            other => format!("{other:?}"),
        };
        lines.push(format!(
            "  {}..{} us: {outcome}",
            attempt.sent_us, attempt.ended_us
        ));
    }
    if let Some(run) = record.run_id() {
        for ran in observed.executions.get(&run).into_iter().flatten() {
            lines.push(format!("  {} us: ran at {}", ran.started_us, ran.target));
        }
        for bill in observed.bills.get(&run).into_iter().flatten() {
            lines.push(format!("  billed {} at {}", bill.amount, bill.place));
        }
    }
    lines.join("\n")
}
