//! Observations of an experiment: what callers saw, what targets ran and what was billed.

use std::collections::BTreeMap;

use wisteriapass_coord::budget::{Origin, Totals};
use wisteriapass_coord::once::{Bill, BillLedger, OnceError};

use crate::fleet::Fleet;
use crate::load::{Call, CallId, Event, Outcome, Record};

/// One execution of a request at a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Name of the target.
    pub target: String,
    /// When it started, in microseconds since the history began; exact to a millisecond.
    pub started_us: u64,
}

/// One attempt of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// When it was sent, in microseconds since the history began.
    pub sent_us: u64,
    /// When it ended, in microseconds since the history began.
    pub ended_us: u64,
    /// How it ended.
    pub outcome: Outcome,
}

/// One call with its attempts, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// The call.
    pub call: Call,
    /// Its attempts that ended.
    pub attempts: Vec<Attempt>,
}

impl CallRecord {
    /// Returns the run ID that its idempotency key determines, if it has a key.
    pub fn run_id(&self) -> Option<String> {
        let key = self.call.key.as_ref()?;
        Some(format!("k/{}/{key}", self.call.account))
    }
}

/// Tokens added to the budget of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TopUpRecord {
    /// Time of the top-up, in microseconds since the history began.
    pub at_us: u64,
    /// Added tokens.
    pub tokens: u64,
}

/// A period in which a target was draining or leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingPeriod {
    /// Name of the target.
    pub target: String,
    /// When the target was told to leave, in microseconds since the history began.
    pub from_us: u64,
    /// When this was revoked, in microseconds since the history began.
    pub until_us: u64,
}

/// A daemon that was seen with an older configuration than before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollback {
    /// Name of the daemon.
    pub daemon: String,
    /// Revision in force before.
    pub from: u64,
    /// Revision in force afterwards.
    pub to: u64,
}

/// All observations of one experiment.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Calls by ID.
    pub calls: BTreeMap<CallId, CallRecord>,
    /// Executions by run ID.
    pub executions: BTreeMap<String, Vec<Execution>>,
    /// Bills by run ID, without duplicates.
    pub bills: BTreeMap<String, Vec<Bill>>,
    /// Top-ups by account.
    pub top_ups: BTreeMap<String, Vec<TopUpRecord>>,
    /// Totals of the budget records.
    pub totals: Vec<Totals>,
    /// Periods in which targets were draining or leaving.
    pub leaving_periods: Vec<LeavingPeriod>,
    /// Reversions of daemons to an older configuration.
    pub rollbacks: Vec<Rollback>,
}

impl Observations {
    /// Collects the observations of a fleet; `began_unix_ms` is when the history began.
    ///
    /// # Errors
    ///
    /// [`OnceError`] if a batch of bills cannot be read.
    pub fn collect(
        fleet: &Fleet,
        records: &[Record],
        began_unix_ms: u64,
        top_ups: BTreeMap<String, Vec<TopUpRecord>>,
    ) -> Result<Self, OnceError> {
        let mut observed = Self {
            calls: calls(records),
            top_ups,
            totals: fleet.totals().unwrap_or_default(),
            ..Self::default()
        };
        let to_history_us = |unix_ms: u64| unix_ms.saturating_sub(began_unix_ms) * 1_000;
        for (target, engine) in fleet.engines() {
            for execution in engine.executions() {
                observed.add_execution(
                    execution.request_id,
                    target,
                    to_history_us(execution.started),
                );
            }
        }
        for (target, service) in fleet.services() {
            for execution in service.calls() {
                observed.add_execution(
                    execution.request_id,
                    target,
                    to_history_us(execution.started),
                );
            }
        }
        let ledger = BillLedger::new(fleet.platform().store(), Origin(0));
        for bill in ledger.read_all()? {
            let bills = observed.bills.entry(bill.run.as_str().into()).or_default();
            if !bills.contains(&bill) {
                bills.push(bill);
            }
        }
        Ok(observed)
    }

    /// Returns the tokens billed to an account for runs that started no later than `at_us`.
    pub fn billed_until(&self, account: &str, at_us: u64) -> u64 {
        let started = |run: &String| {
            let runs = self.executions.get(run).into_iter().flatten();
            runs.map(|r| r.started_us).min().unwrap_or(0)
        };
        let in_time = self.bills.iter().filter(|(run, _)| started(run) <= at_us);
        let bills = in_time.flat_map(|(_, bills)| bills);
        let of_account = bills.filter(|b| b.account == account);
        of_account.map(|b| b.amount.0).sum()
    }

    /// Returns the tokens added to an account no later than `at_us`.
    pub fn prepaid_until(&self, account: &str, at_us: u64) -> u64 {
        let top_ups = self.top_ups.get(account).into_iter().flatten();
        let in_time = top_ups.filter(|a| a.at_us <= at_us);
        in_time.map(|a| a.tokens).sum()
    }

    fn add_execution(&mut self, run: String, target: &str, started_us: u64) {
        self.executions.entry(run).or_default().push(Execution {
            target: target.into(),
            started_us,
        });
    }
}

/// Groups the records of a history by call.
fn calls(records: &[Record]) -> BTreeMap<CallId, CallRecord> {
    let mut calls = BTreeMap::<CallId, CallRecord>::new();
    let mut sent_us = BTreeMap::new();
    for record in records {
        match &record.event {
            Event::Sent { call, .. } => {
                sent_us.insert((record.call, record.attempt), record.at_us);
                calls.entry(record.call).or_insert_with(|| CallRecord {
                    call: (**call).clone(),
                    attempts: Vec::new(),
                });
            }
            Event::FirstPiece => {}
            Event::Ended(outcome) => {
                let sent = sent_us.get(&(record.call, record.attempt));
                if let (Some(call_record), Some(sent_us)) = (calls.get_mut(&record.call), sent) {
                    call_record.attempts.push(Attempt {
                        sent_us: *sent_us,
                        ended_us: record.at_us,
                        outcome: outcome.clone(),
                    });
                }
            }
        }
    }
    calls
}
