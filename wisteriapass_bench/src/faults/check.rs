//! The properties, each with a named check over the facts.

use derive_more::Display;
use wisteriapass_coord::once::Bill;
use wisteriapass_daemon::api::Ran;

use super::facts::{CallRecord, LeavingPeriod, Observations};
use crate::load::{Answered, CallId, Outcome, Work};

/// Uncertainty of the targets' clocks against the history's, in microseconds: both are rounded to
/// a millisecond.
const SLACK_US: u64 = 3_000;

/// Time after which a leaving target begins no new work, in microseconds.
const LEAVE_US: u64 = 3_000_000;

/// A property that must always hold.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Property {
    /// No account's bills exceed what it has prepaid.
    #[display("overspend")]
    Overspend,
    /// No request has two bills.
    #[display("billed_twice")]
    BilledTwice,
    /// Each answer has its bill, with the amount the caller was told.
    #[display("unbilled")]
    Unbilled,
    /// Each answer is whole and the caller's own.
    #[display("crossed")]
    Crossed,
    /// Nothing that a caller was told did not run has run or runs later.
    #[display("wrong_not_run")]
    WrongNotRun,
    /// What may not be repeated ran at most once.
    #[display("ran_twice")]
    RanTwice,
    /// The budget records account for every token.
    #[display("not_conserved")]
    NotConserved,
    /// A drained or leaving target begins no new work.
    #[display("work_after_leaving")]
    WorkAfterLeaving,
    /// No daemon goes back to an older configuration.
    #[display("reverted")]
    Reverted,
}

/// A broken property, with the offending request's trace.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("BROKEN {property}: {description}\n{trace}")]
pub struct Violation {
    /// Which.
    pub property: Property,
    /// How far: tokens for overspend, one for all others.
    pub amount: u64,
    /// What is wrong.
    pub description: String,
    /// What is known of the request.
    pub trace: String,
}

/// Checks all properties.
pub fn check(facts: &Observations) -> Vec<Violation> {
    let mut found = spend_within_budget(facts);
    found.extend(money_is_conserved(facts));
    found.extend(no_second_bill(facts));
    found.extend(leaving_targets_begin_no_work(facts));
    found.extend(no_daemon_reverts(facts));
    for (id, asked) in &facts.calls {
        found.extend(answers_have_their_bills(facts, *id, asked));
        found.extend(answers_are_whole_and_own(facts, *id, asked));
        found.extend(not_run_is_true(facts, *id, asked));
        found.extend(runs_at_most_once(facts, *id, asked));
    }
    found
}

/// Property 1: bills of an account against its top-ups.
fn spend_within_budget(facts: &Observations) -> Vec<Violation> {
    let over = facts.top_ups.keys().filter_map(|account| {
        let billed = facts.billed_until(account, u64::MAX);
        let prepaid = facts.prepaid_until(account, u64::MAX);
        (billed > prepaid).then(|| Violation {
            property: Property::Overspend,
            amount: billed - prepaid,
            description: format!("account {account} was billed {billed} of {prepaid} prepaid"),
            trace: String::new(),
        })
    });
    over.collect()
}

/// Property 1, seen from the records: free, held, spent and stranded make up what was prepaid.
fn money_is_conserved(facts: &Observations) -> Vec<Violation> {
    let wrong = facts.totals.iter().filter(|t| {
        let sum = t.free.0 + t.spent.0 + t.outstanding.0 + t.stranded.0;
        sum != t.prepaid.0
    });
    let violation = |what| Violation {
        property: Property::NotConserved,
        amount: 1,
        description: what,
        trace: String::new(),
    };
    wrong.map(|t| violation(format!("{t:?}"))).collect()
}

/// Property 2: one bill a request.
fn no_second_bill(facts: &Observations) -> Vec<Violation> {
    let twice = facts.bills.iter().filter(|(_, bills)| bills.len() > 1);
    let violation = |(run, bills): (&String, &Vec<Bill>)| Violation {
        property: Property::BilledTwice,
        amount: 1,
        description: format!("{run}: {bills:?}"),
        trace: trace_of_run(facts, run),
    };
    twice.map(violation).collect()
}

/// Property 2: answers and bills agree, amount by amount.
fn answers_have_their_bills(
    facts: &Observations,
    id: CallId,
    asked: &CallRecord,
) -> Vec<Violation> {
    let mut found = Vec::new();
    for answered in answers(asked) {
        let Some(told) = answered.billed_tokens.filter(|t| *t > 0) else {
            continue;
        };
        let bills = facts.bills.get(&answered.run);
        let billed = bills.and_then(|b| b.first()).map(|b| b.amount.0);
        if billed != Some(told) {
            let what = format!("call {id} was told {told} tokens, billed {billed:?}");
            found.push(violation(facts, Property::Unbilled, what, asked));
        }
    }
    found
}

/// Only the first run of an identity is new work: later ones repeat a known key.
fn leaving_targets_begin_no_work(facts: &Observations) -> Vec<Violation> {
    let mut found = Vec::new();
    for (id, runs) in &facts.executions {
        let Some(first) = runs.iter().min_by_key(|r| r.started_us) else {
            continue;
        };
        let is_late = |l: &&LeavingPeriod| {
            let is_after = first.started_us > l.from_us + LEAVE_US + SLACK_US;
            l.target == first.target && is_after && first.started_us + SLACK_US < l.until_us
        };
        if let Some(leaving) = facts.leaving_periods.iter().find(is_late) {
            found.push(Violation {
                property: Property::WorkAfterLeaving,
                amount: 1,
                description: format!("{id} began as {first:?} after {leaving:?}"),
                trace: trace_of_run(facts, id),
            });
        }
    }
    found
}

/// A configuration in force is followed by newer ones only.
fn no_daemon_reverts(facts: &Observations) -> Vec<Violation> {
    let violation = |reverted| Violation {
        property: Property::Reverted,
        amount: 1,
        description: format!("{reverted:?}"),
        trace: String::new(),
    };
    facts.rollbacks.iter().map(violation).collect()
}

/// Property 3: the whole answer to the own request.
fn answers_are_whole_and_own(
    facts: &Observations,
    id: CallId,
    asked: &CallRecord,
) -> Vec<Violation> {
    let mut found = Vec::new();
    for answered in answers(asked) {
        let is_own = asked.run_id().is_none_or(|run| run == answered.run);
        if !answered.is_expected || !is_own {
            let what = format!("call {id} got {answered:?}");
            found.push(violation(facts, Property::Crossed, what, asked));
        }
    }
    found
}

/// Property 4: "not run" is said only of what neither ran nor runs later.
fn not_run_is_true(facts: &Observations, id: CallId, asked: &CallRecord) -> Vec<Violation> {
    let Some(runs) = asked.run_id().and_then(|run| facts.executions.get(&run)) else {
        return Vec::new();
    };
    let mut found = Vec::new();
    for (n, tried) in asked.attempts.iter().enumerate() {
        let refused = tried.outcome.refused();
        if refused.is_none_or(|r| r.refusal.ran != Ran::NotRun) {
            continue;
        }
        let next_us = asked.attempts.get(n + 1).map_or(u64::MAX, |t| t.sent_us);
        let is_wrong = |started: u64| {
            let before = started + SLACK_US < tried.ended_us;
            let later = started > tried.ended_us + SLACK_US && started + SLACK_US < next_us;
            before || later
        };
        if let Some(run) = runs.iter().find(|r| is_wrong(r.started_us)) {
            let what = format!("call {id}, try {}: ran as {run:?}", n + 1);
            found.push(violation(facts, Property::WrongNotRun, what, asked));
        }
    }
    found
}

/// Property 5: a request that may not be repeated runs at most once.
fn runs_at_most_once(facts: &Observations, id: CallId, asked: &CallRecord) -> Vec<Violation> {
    let runs = asked.run_id().and_then(|run| facts.executions.get(&run));
    match runs {
        Some(runs) if asked.call.non_idempotent && runs.len() > 1 => {
            let what = format!("call {id} ran {} times", runs.len());
            vec![violation(facts, Property::RanTwice, what, asked)]
        }
        _ => Vec::new(),
    }
}

fn answers(asked: &CallRecord) -> impl Iterator<Item = &Answered> {
    asked.attempts.iter().filter_map(|t| t.outcome.answered())
}

fn violation(
    facts: &Observations,
    property: Property,
    what: String,
    asked: &CallRecord,
) -> Violation {
    Violation {
        property,
        amount: 1,
        description: what,
        trace: trace(facts, asked),
    }
}

fn trace_of_run(facts: &Observations, run: &str) -> String {
    let is_it = |asked: &&CallRecord| {
        let by_key = asked.run_id().as_deref() == Some(run);
        by_key || answers(asked).any(|a| a.run == run)
    };
    let asked = facts.calls.values().find(is_it);
    asked.map(|a| trace(facts, a)).unwrap_or_default()
}

/// Returns all that is known of a request, one line each.
fn trace(facts: &Observations, asked: &CallRecord) -> String {
    let what = match &asked.call.work {
        Work::Chat(chat) => &chat.prompt,
        Work::Service(service) => &service.path,
    };
    let mut lines = vec![format!("  {} {what}", asked.call.account)];
    for tried in &asked.attempts {
        let outcome = match &tried.outcome {
            Outcome::Refused(r) => format!("{} {}", r.status, r.refusal),
            other => format!("{other:?}"),
        };
        lines.push(format!(
            "  {}..{} us: {outcome}",
            tried.sent_us, tried.ended_us
        ));
    }
    if let Some(run) = asked.run_id() {
        for ran in facts.executions.get(&run).into_iter().flatten() {
            lines.push(format!("  {} us: ran at {}", ran.started_us, ran.target));
        }
        for bill in facts.bills.get(&run).into_iter().flatten() {
            lines.push(format!("  billed {} at {}", bill.amount, bill.place));
        }
    }
    lines.join("\n")
}
