//! All runs of a side process, by the identity of their request.

use std::collections::HashMap;

use parking_lot::Mutex;
use wisteriapass_coord::once::RunId;

use crate::prelude::*;
use crate::rpc::WithdrawalOutcome;
use crate::run_wire::{Attach, Dispatch};
use crate::side::Run;

/// Time a run's answer is kept after its end, in seconds.
const KEEP_S: u64 = 300;

/// Time a withdrawal is remembered, in seconds; dispatches are refused long before as late.
const KEEP_WITHDRAWN_S: u64 = 3_600;

/// Time after which a run that nobody follows and nobody can ask for again is stopped, in
/// seconds; a router that lost its connection is back sooner.
const ORPHAN_S: u64 = 10;

/// What to do with a dispatch.
pub enum BeginOutcome {
    /// Execute it.
    New(Arc<Run>),
    /// It is there already; follow it.
    Known(Arc<Run>),
}

/// A withdrawal that holds until its end.
#[derive(Clone, Copy, Debug)]
struct Withdrawing {
    attempt: u32,
    until: Instant,
}

#[derive(Default)]
struct Table {
    runs: HashMap<String, Arc<Run>>,
    withdrawn: HashMap<String, Withdrawing>,
}

impl Table {
    fn known(&self, dispatch: &Dispatch) -> Result<Option<Arc<Run>>, Refusal> {
        let Some(run) = self.runs.get(&dispatch.run) else {
            return Ok(None);
        };
        check_fingerprint(run, &dispatch.fingerprint)?;
        let begins_anew = run.has_failed() && dispatch.idempotent;
        Ok((!begins_anew).then(|| run.clone()))
    }
}

/// The runs of one side process.
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

    /// Begins a run, or finds the one that is there.
    ///
    /// A run that failed without an answer begins anew. A new run begins only if `admit` lets it.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the attempt was withdrawn or the identity belongs to another request.
    pub fn begin(
        &self,
        dispatch: Dispatch,
        admit: impl FnOnce(&Dispatch) -> Result<(), Refusal>,
    ) -> Result<BeginOutcome, Refusal> {
        let mut table = self.table.lock();
        if let Some(run) = table.known(&dispatch)? {
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

    /// Finds the run that a dispatch repeats, unless that has to begin anew.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the identity belongs to another request.
    pub fn find_known(&self, dispatch: &Dispatch) -> Result<Option<Arc<Run>>, Refusal> {
        self.table.lock().known(dispatch)
    }

    /// Finds a run to follow, if there is one.
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

    /// Makes sure that attempts up to this one never begin, unless one has.
    pub fn withdraw(&self, run: &str, attempt: u32, now: Instant) -> WithdrawalOutcome {
        let mut table = self.table.lock();
        if let Some(known) = table.runs.get(run) {
            return match (known.bill(), known.ended_at()) {
                (Some(bill), _) => WithdrawalOutcome::Ended { bill },
                (None, Some(_)) => WithdrawalOutcome::Unknown,
                (None, None) => WithdrawalOutcome::Running,
            };
        }
        let until = now + Duration::from_secs(KEEP_WITHDRAWN_S);
        let entry = table
            .withdrawn
            .entry(run.into())
            .or_insert(Withdrawing { attempt, until });
        entry.attempt = entry.attempt.max(attempt);
        entry.until = until;
        WithdrawalOutcome::NeverRuns
    }

    /// Asks a run to stop; returns whether it was running.
    pub fn cancel(&self, run: &str) -> bool {
        let run = self.table.lock().runs.get(run).cloned();
        let running = run.filter(|r| r.ended_at().is_none());
        if let Some(run) = &running {
            run.cancel();
        }
        running.is_some()
    }

    /// Forgets what ended long ago, and stops what nobody can ask for again.
    pub fn sweep(&self, now: Instant) {
        let keep = Duration::from_secs(KEEP_S);
        let orphaned = Duration::from_secs(ORPHAN_S);
        let mut table = self.table.lock();
        table
            .runs
            .retain(|_, run| run.ended_at().is_none_or(|at| at + keep > now));
        table.withdrawn.retain(|_, w| w.until > now);
        for run in table.runs.values().filter(|r| r.ended_at().is_none()) {
            let left = run.unfollowed_since().is_some_and(|at| at + orphaned < now);
            if left && !run.dispatch().keyed {
                run.cancel();
            }
        }
    }

    /// Returns the runs that their callers may ask for again.
    pub fn keyed(&self) -> Vec<RunId> {
        let table = self.table.lock();
        let keyed = table.runs.values().filter(|r| r.dispatch().keyed);
        keyed
            .map(|r| RunId::from_text(r.dispatch().run.clone()))
            .collect()
    }

    /// Returns the runs that go on.
    pub fn active(&self) -> Vec<Arc<Run>> {
        let table = self.table.lock();
        let unfinished = table.runs.values().filter(|r| r.ended_at().is_none());
        unfinished.cloned().collect()
    }
}

fn check_fingerprint(run: &Run, fingerprint: &str) -> Result<(), Refusal> {
    if run.dispatch().fingerprint == fingerprint {
        return Ok(());
    }
    let message = "the idempotency key belongs to another request";
    Err(Refusal::not_run(Reason::KeyReused, message))
}
