//! Everything that is known of a run: what callers saw, what targets did, what was billed.

use std::collections::BTreeMap;

use wisteriapass_coord::budget::{Origin, Totals};
use wisteriapass_coord::once::{Bill, BillLedger, OnceError};

use crate::fleet::Fleet;
use crate::load::{Call, CallId, Event, Outcome, Record};

/// One execution at a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Name of the target.
    pub target: String,
    /// When it started, in microseconds since the history began; exact to a millisecond.
    pub started_us: u64,
}

/// One try of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// When it was sent, in microseconds since the history began.
    pub sent_us: u64,
    /// When it ended.
    pub ended_us: u64,
    /// How.
    pub outcome: Outcome,
}

/// One call with its tries in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// What was asked.
    pub call: Call,
    /// Its tries that ended.
    pub attempts: Vec<Attempt>,
}

impl CallRecord {
    /// Returns the identity that its key gives its run.
    pub fn run_id(&self) -> Option<String> {
        let key = self.call.key.as_ref()?;
        Some(format!("k/{}/{key}", self.call.account))
    }
}

/// Money added to an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TopUpRecord {
    /// When, in microseconds since the history began.
    pub at_us: u64,
    /// Tokens.
    pub tokens: u64,
}

/// A time during which a target was drained or leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingPeriod {
    /// Name of the target.
    pub target: String,
    /// When the word was given, in microseconds since the history began.
    pub from_us: u64,
    /// When it was taken back.
    pub until_us: u64,
}

/// A daemon seen at an older configuration than before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollback {
    /// Name of the daemon.
    pub daemon: String,
    /// Revision that it had in force.
    pub from: u64,
    /// Revision in force afterwards.
    pub to: u64,
}

/// What is known of a run of the experiment.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Calls by identity.
    pub calls: BTreeMap<CallId, CallRecord>,
    /// Executions by the identity of their run.
    pub executions: BTreeMap<String, Vec<Execution>>,
    /// Bills by the identity of their run; each place's once.
    pub bills: BTreeMap<String, Vec<Bill>>,
    /// Money added, by account.
    pub top_ups: BTreeMap<String, Vec<TopUpRecord>>,
    /// Where the money is by the budget records.
    pub totals: Vec<Totals>,
    /// Times during which targets were leaving.
    pub leaving_periods: Vec<LeavingPeriod>,
    /// Daemons that went back to an older configuration.
    pub rollbacks: Vec<Rollback>,
}

impl Observations {
    /// Gathers the facts of a fleet; `began_unix_ms` is when the history began.
    ///
    /// # Errors
    ///
    /// [`OnceError`] if a batch of bills can't be read.
    pub fn collect(
        fleet: &Fleet,
        records: &[Record],
        began_unix_ms: u64,
        added: BTreeMap<String, Vec<TopUpRecord>>,
    ) -> Result<Self, OnceError> {
        let mut facts = Self {
            calls: calls(records),
            top_ups: added,
            totals: fleet.totals().unwrap_or_default(),
            ..Self::default()
        };
        let since = |unix_ms: u64| unix_ms.saturating_sub(began_unix_ms) * 1_000;
        for (target, engine) in fleet.engines() {
            for ran in engine.ran() {
                facts.add_run(ran.request_id, target, since(ran.started));
            }
        }
        for (target, service) in fleet.services() {
            for ran in service.ran() {
                facts.add_run(ran.request_id, target, since(ran.started));
            }
        }
        let ledger = BillLedger::new(fleet.platform().store(), Origin(0));
        for bill in ledger.read_all()? {
            let bills = facts.bills.entry(bill.run.as_str().into()).or_default();
            if !bills.contains(&bill) {
                bills.push(bill);
            }
        }
        Ok(facts)
    }

    /// Returns the tokens billed to an account for runs that started by a time.
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

    /// Returns the tokens added to an account by a time.
    pub fn prepaid_until(&self, account: &str, at_us: u64) -> u64 {
        let added = self.top_ups.get(account).into_iter().flatten();
        let in_time = added.filter(|a| a.at_us <= at_us);
        in_time.map(|a| a.tokens).sum()
    }

    fn add_run(&mut self, run: String, target: &str, started_us: u64) {
        self.executions.entry(run).or_default().push(Execution {
            target: target.into(),
            started_us,
        });
    }
}

/// Returns the calls of a history with their tries.
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
                if let (Some(asked), Some(sent_us)) = (calls.get_mut(&record.call), sent) {
                    asked.attempts.push(Attempt {
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
