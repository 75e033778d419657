//! The runs of one side process: which ones begin, are refused, and are kept.

use std::collections::HashMap;

use crate::Millis;
use crate::budget::{Origin, Payment, Tokens};
use crate::once::{Attempt, DispatchError, FenceAck, OriginUsage, Retention, RunDispatch, RunId};

/// Outcome of an accepted dispatch.
#[derive(Debug, PartialEq, Eq)]
pub enum BeginOutcome<R> {
    /// The run is new and has to be executed.
    New(R),
    /// The run exists already; its events are read instead of executing the request again.
    Existing(R),
}

/// Outcome of withdrawing an attempt at a run.
#[derive(Debug, PartialEq, Eq)]
pub enum WithdrawalOutcome<R> {
    /// No attempt up to the withdrawn one began here or ever will.
    NeverRuns,
    /// The run is in progress.
    Running(R),
    /// The run has ended.
    Ended(R),
    /// The request ran, and its answer is no longer kept.
    AnswerDropped,
}

/// Progress of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Running,
    /// The run ended with an answer or with an unknown outcome, and is kept.
    Ended {
        at: Millis,
        bytes: usize,
    },
    /// The run ended without an answer and certainly without effect. It may begin again if it is
    /// idempotent.
    Failed {
        at: Millis,
    },
}

#[derive(Debug)]
struct Entry<R> {
    run: R,
    fingerprint: String,
    payment: Option<Payment>,
    is_idempotent: bool,
    state: State,
}

#[derive(Clone, Copy, Debug)]
struct Withdrawal {
    attempt: Attempt,
    until: Millis,
}

/// Runs of a side process; `R` is a cheaply cloned handle to the events of a run.
#[derive(Debug)]
pub struct RunTable<R> {
    incarnation: String,
    entries: HashMap<RunId, Entry<R>>,
    withdrawn: HashMap<RunId, Withdrawal>,
    /// Non-idempotent runs whose answers were dropped, with the time of dropping.
    dropped: HashMap<RunId, Millis>,
    usage: OriginUsage,
}

impl<R: Clone> RunTable<R> {
    /// Creates an empty table for an incarnation of a side process.
    pub fn new(incarnation: impl Into<String>) -> Self {
        Self {
            incarnation: incarnation.into(),
            entries: HashMap::new(),
            withdrawn: HashMap::new(),
            dropped: HashMap::new(),
            usage: OriginUsage::new(),
        }
    }

    /// Begins a run, or returns the existing one.
    ///
    /// # Errors
    ///
    /// [`DispatchError`] if nothing begins under this attempt.
    pub fn begin(
        &mut self,
        dispatch: &RunDispatch,
        now: Millis,
        create_run: impl FnOnce() -> R,
    ) -> Result<BeginOutcome<R>, DispatchError> {
        let incarnation = dispatch.incarnation.as_deref();
        if incarnation.is_some_and(|i| i != self.incarnation) {
            return Err(DispatchError::WrongIncarnation);
        }
        if let Some(entry) = self.entries.get(&dispatch.run) {
            if entry.fingerprint != dispatch.fingerprint {
                return Err(DispatchError::KeyReused);
            }
            let has_failed = matches!(entry.state, State::Failed { .. });
            if !has_failed || !dispatch.is_idempotent {
                return Ok(BeginOutcome::Existing(entry.run.clone()));
            }
        }
        self.check_may_begin(dispatch, now)?;
        let run = create_run();
        let entry = Entry {
            run: run.clone(),
            fingerprint: dispatch.fingerprint.clone(),
            payment: dispatch.payment.clone(),
            is_idempotent: dispatch.is_idempotent,
            state: State::Running,
        };
        self.entries.insert(dispatch.run.clone(), entry);
        Ok(BeginOutcome::New(run))
    }

    fn check_may_begin(&self, dispatch: &RunDispatch, now: Millis) -> Result<(), DispatchError> {
        if self.dropped.contains_key(&dispatch.run) {
            return Err(DispatchError::AlreadyRan);
        }
        let withdrawal = self.withdrawn.get(&dispatch.run);
        if withdrawal.is_some_and(|w| dispatch.attempt <= w.attempt) {
            return Err(DispatchError::Withdrawn);
        }
        if now > dispatch.start_by {
            return Err(DispatchError::DeadlinePassed);
        }
        let fenced = dispatch
            .payment
            .as_ref()
            .and_then(|p| self.usage.fenced_origin(p));
        match fenced {
            Some(origin) => Err(DispatchError::Fenced { origin }),
            None => Ok(()),
        }
    }

    /// Returns a run if its request has this fingerprint.
    pub fn find(&self, run: &RunId, fingerprint: &str) -> Option<R> {
        let entry = self.entries.get(run)?;
        (entry.fingerprint == fingerprint).then(|| entry.run.clone())
    }

    /// Returns the run with this id.
    pub fn get(&self, run: &RunId) -> Option<R> {
        self.entries.get(run).map(|e| e.run.clone())
    }

    /// Returns all runs with their ids.
    pub fn runs(&self) -> impl Iterator<Item = (&RunId, &R)> {
        self.entries.iter().map(|(id, e)| (id, &e.run))
    }

    /// Ends a run that cost `amount` and whose kept answer has a size of `bytes`.
    ///
    /// Ending a run again has no effect.
    pub fn end(&mut self, run: &RunId, amount: Tokens, bytes: usize, now: Millis) {
        self.finish(run, amount, State::Ended { at: now, bytes });
    }

    /// Ends a run that failed without an answer and is free of charge.
    pub fn fail(&mut self, run: &RunId, now: Millis) {
        self.finish(run, Tokens::ZERO, State::Failed { at: now });
    }

    fn finish(&mut self, run: &RunId, amount: Tokens, state: State) {
        let Some(entry) = self.entries.get_mut(run) else {
            return;
        };
        if entry.state != State::Running {
            return;
        }
        entry.state = state;
        if let Some(payment) = &entry.payment {
            self.usage.charge(payment, amount);
        }
    }

    /// Ensures that no attempt up to this one ever begins, unless the run exists already.
    ///
    /// The withdrawal is remembered until `until`, which must be later than the deadline of any
    /// dispatch of these attempts.
    pub fn withdraw(
        &mut self,
        run: &RunId,
        attempt: Attempt,
        until: Millis,
    ) -> WithdrawalOutcome<R> {
        if let Some(entry) = self.entries.get(run) {
            return match entry.state {
                State::Running => WithdrawalOutcome::Running(entry.run.clone()),
                State::Ended { .. } | State::Failed { .. } => {
                    WithdrawalOutcome::Ended(entry.run.clone())
                }
            };
        }
        if self.dropped.contains_key(run) {
            return WithdrawalOutcome::AnswerDropped;
        }
        let new = Withdrawal { attempt, until };
        let withdrawal = self.withdrawn.entry(run.clone()).or_insert(new);
        withdrawal.attempt = withdrawal.attempt.max(attempt);
        withdrawal.until = withdrawal.until.max(until);
        WithdrawalOutcome::NeverRuns
    }

    /// Refuses new runs paid from `origin` from now on, and returns what was spent from it.
    pub fn fence(&mut self, origin: Origin) -> FenceAck {
        self.usage.fence(origin);
        let is_paid_from_origin = |e: &&Entry<R>| {
            e.payment
                .as_ref()
                .is_some_and(|p| p.includes_origin(origin))
        };
        let paid_runs = self.entries.values().filter(is_paid_from_origin);
        FenceAck {
            spent: self.usage.spent_of(origin),
            running: paid_runs.filter(|e| e.state == State::Running).count(),
        }
    }

    /// Drops answers and outcomes as `retention` says, and expired withdrawals.
    pub fn sweep(&mut self, retention: Retention, now: Millis) {
        self.withdrawn.retain(|_, w| w.until > now);
        self.dropped.retain(|_, at| *at >= retention.outcomes_since);
        let mut ended: Vec<(Millis, usize, RunId)> = self.ended().collect();
        let mut bytes: usize = ended.iter().map(|(_, size, _)| size).sum();
        ended.sort_unstable();
        for (at, size, run) in ended {
            if at >= retention.answers_since && bytes <= retention.max_answer_bytes {
                return;
            }
            bytes -= size;
            self.drop_answer(run, now);
        }
    }

    fn drop_answer(&mut self, run: RunId, now: Millis) {
        let entry = self.entries.remove(&run);
        if entry.is_some_and(|e| !e.is_idempotent) {
            self.dropped.insert(run, now);
        }
    }

    fn ended(&self) -> impl Iterator<Item = (Millis, usize, RunId)> {
        self.entries.iter().filter_map(|(id, e)| match e.state {
            State::Ended { at, bytes } => Some((at, bytes, id.clone())),
            State::Failed { at } => Some((at, 0, id.clone())),
            State::Running => None,
        })
    }

    /// Returns the number of runs in progress.
    pub fn running(&self) -> usize {
        let running = self.entries.values().filter(|e| e.state == State::Running);
        running.count()
    }
}
