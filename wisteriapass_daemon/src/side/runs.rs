//! All runs of a side process, by the identity of their request.

use std::collections::HashMap;

use parking_lot::Mutex;

use crate::prelude::*;
use crate::run_wire::{Attach, Dispatch};
use crate::side::Run;

/// Time a run's answer is kept after its end, in seconds.
const KEEP_S: u64 = 300;

/// What to do with a dispatch.
pub enum Begun {
    /// Execute it.
    New(Arc<Run>),
    /// It is there already; follow it.
    Known(Arc<Run>),
}

/// The runs of one side process.
#[derive(Default)]
pub struct Runs {
    runs: Mutex<HashMap<String, Arc<Run>>>,
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
    /// # Errors
    ///
    /// A [`Refusal`] if the identity belongs to another request.
    pub fn begin(&self, dispatch: Dispatch) -> Result<Begun, Refusal> {
        let mut runs = self.runs.lock();
        if let Some(run) = runs.get(&dispatch.run) {
            check_fingerprint(run, &dispatch.fingerprint)?;
            return Ok(Begun::Known(run.clone()));
        }
        let run = Arc::new(Run::new(dispatch));
        runs.insert(run.dispatch().run.clone(), run.clone());
        Ok(Begun::New(run))
    }

    /// Finds the run that a dispatch repeats.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the identity belongs to another request.
    pub fn known(&self, dispatch: &Dispatch) -> Result<Option<Arc<Run>>, Refusal> {
        let run = self.runs.lock().get(&dispatch.run).cloned();
        if let Some(run) = &run {
            check_fingerprint(run, &dispatch.fingerprint)?;
        }
        Ok(run)
    }

    /// Finds a run to follow.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if no such run is known or the identity belongs to another request.
    pub fn find(&self, attach: &Attach) -> Result<Arc<Run>, Refusal> {
        let run = self.runs.lock().get(&attach.run).cloned();
        let run = run.ok_or_else(|| Refusal::outcome_unknown("no such run here"))?;
        check_fingerprint(&run, &attach.fingerprint)?;
        Ok(run)
    }

    /// Forgets runs that ended long ago.
    pub fn expire(&self, now: Instant) {
        let keep = Duration::from_secs(KEEP_S);
        self.runs
            .lock()
            .retain(|_, run| run.ended_at().is_none_or(|at| at + keep > now));
    }

    /// Returns the number of runs that go on.
    pub fn running(&self) -> usize {
        self.runs
            .lock()
            .values()
            .filter(|r| r.ended_at().is_none())
            .count()
    }
}

fn check_fingerprint(run: &Run, fingerprint: &str) -> Result<(), Refusal> {
    if run.dispatch().fingerprint == fingerprint {
        return Ok(());
    }
    let message = "the idempotency key belongs to another request";
    Err(Refusal::not_run(Reason::KeyReused, message))
}
