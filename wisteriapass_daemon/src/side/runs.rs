//! The runs of a side process, by the identity of their request.

use std::collections::HashMap;

use parking_lot::Mutex;
use wisteriapass_coord::once::RunId;

use crate::prelude::*;
use crate::rpc::WithdrawalOutcome;
use crate::run_wire::{Attach, Dispatch};
use crate::side::Run;

/// Retention of a run's answer after its end, in seconds.
const RUN_RETENTION_S: u64 = 300;

/// Retention of a withdrawal, in seconds; a delayed dispatch is refused as late long before.
const WITHDRAWAL_RETENTION_S: u64 = 3_600;

/// Time after which a run without followers is cancelled if no caller can repeat its request, in
/// seconds. A router that lost its connection attaches again sooner.
const ORPHAN_TIMEOUT_S: u64 = 10;

/// Outcome of beginning a run.
pub enum BeginOutcome {
    /// The run is new and has to be executed.
    New(Arc<Run>),
    /// The run exists already and can be followed.
    Known(Arc<Run>),
}

/// Withdrawal of the attempts of a run up to `attempt`, valid until `until`.
#[derive(Clone, Copy, Debug)]
struct Withdrawal {
    attempt: u32,
    until: Instant,
}

#[derive(Default)]
struct Table {
    runs: HashMap<String, Arc<Run>>,
    withdrawn: HashMap<String, Withdrawal>,
}

impl Table {
    fn find_known(&self, dispatch: &Dispatch) -> Result<Option<Arc<Run>>, Refusal> {
        let Some(run) = self.runs.get(&dispatch.run) else {
            return Ok(None);
        };
        check_fingerprint(run, &dispatch.fingerprint)?;
        let may_run_again = run.has_failed() && dispatch.idempotent;
        Ok((!may_run_again).then(|| run.clone()))
    }
}

/// Table of the runs of a side process.
#[derive(Default)]
pub struct Runs {
    table: Mutex<Table>,
}

impl Service for Runs {
    const NAME: &'static str = "runs";
}

impl Runs {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Begins a run, or returns the existing one.
    ///
    /// An idempotent run that failed without an answer begins again. A new run begins only if
    /// `admit` accepts it.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the attempt was withdrawn, the identity belongs to another request, or
    /// `admit` refuses the run.
    pub fn begin(
        &self,
        dispatch: Dispatch,
        admit: impl FnOnce(&Dispatch) -> Result<(), Refusal>,
    ) -> Result<BeginOutcome, Refusal> {
        let mut table = self.table.lock();
        if let Some(run) = table.find_known(&dispatch)? {
            return Ok(BeginOutcome::Known(run));
        }
        if table
            .withdrawn
            .get(&dispatch.run)
            .is_some_and(|w| dispatch.attempt <= w.attempt)
        {
            return Err(Refusal::not_run(
                Reason::Deadline,
                "the attempt was withdrawn",
            ));
        }
        admit(&dispatch)?;
        let run = Arc::new(Run::new(dispatch));
        table.runs.insert(run.dispatch().run.clone(), run.clone());
        Ok(BeginOutcome::New(run))
    }

    /// Returns the run that a dispatch repeats, unless that run has to begin again.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the identity belongs to another request.
    pub fn find_known(&self, dispatch: &Dispatch) -> Result<Option<Arc<Run>>, Refusal> {
        self.table.lock().find_known(dispatch)
    }

    /// Returns a run to follow, if it exists.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the identity belongs to another request.
    pub fn find(&self, attach: &Attach) -> Result<Option<Arc<Run>>, Refusal> {
        let run = self.table.lock().runs.get(&attach.run).cloned();
        if let Some(run) = &run {
            check_fingerprint(run, &attach.fingerprint)?;
        }
        Ok(run)
    }

    /// Prevents attempts of a run up to this one from starting, unless one has started already.
    pub fn withdraw(&self, run: &str, attempt: u32, now: Instant) -> WithdrawalOutcome {
        let mut table = self.table.lock();
        if let Some(known) = table.runs.get(run) {
            return match (known.bill(), known.ended_at()) {
                (Some(bill), _) => WithdrawalOutcome::Ended { bill },
                (None, Some(_)) => WithdrawalOutcome::Unknown,
                (None, None) => WithdrawalOutcome::Running,
            };
        }
        let until = now + Duration::from_secs(WITHDRAWAL_RETENTION_S);
        let entry = table
            .withdrawn
            .entry(run.into())
            .or_insert(Withdrawal { attempt, until });
        entry.attempt = entry.attempt.max(attempt);
        entry.until = until;
        WithdrawalOutcome::NeverRuns
    }

    /// Cancels a run; returns whether it was running.
    pub fn cancel(&self, run: &str) -> bool {
        let run = self.table.lock().runs.get(run).cloned();
        let running = run.filter(|r| r.ended_at().is_none());
        if let Some(run) = &running {
            run.cancel();
        }
        running.is_some()
    }

    /// Removes runs and withdrawals past their retention, and cancels orphaned runs.
    pub fn sweep(&self, now: Instant) {
        let retention = Duration::from_secs(RUN_RETENTION_S);
        let orphan_timeout = Duration::from_secs(ORPHAN_TIMEOUT_S);
        let mut table = self.table.lock();
        table
            .runs
            .retain(|_, run| run.ended_at().is_none_or(|at| at + retention > now));
        table.withdrawn.retain(|_, w| w.until > now);
        for run in table.runs.values().filter(|r| r.ended_at().is_none()) {
            let is_orphaned = run
                .unfollowed_since()
                .is_some_and(|at| at + orphan_timeout < now);
            if is_orphaned && !run.dispatch().keyed {
                run.cancel();
            }
        }
    }

    /// Returns the runs whose callers may repeat the request.
    pub fn keyed(&self) -> Vec<RunId> {
        let table = self.table.lock();
        let keyed = table.runs.values().filter(|r| r.dispatch().keyed);
        keyed
            .map(|r| RunId::from_text(r.dispatch().run.clone()))
            .collect()
    }

    /// Returns the runs that have not ended.
    pub fn active(&self) -> Vec<Arc<Run>> {
        let table = self.table.lock();
        let active = table.runs.values().filter(|r| r.ended_at().is_none());
        active.cloned().collect()
    }
}

fn check_fingerprint(run: &Run, fingerprint: &str) -> Result<(), Refusal> {
    if run.dispatch().fingerprint == fingerprint {
        return Ok(());
    }
    let message = "the idempotency key belongs to another request";
    Err(Refusal::not_run(Reason::KeyReused, message))
}
