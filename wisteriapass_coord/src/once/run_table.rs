//! The runs of one side process: what begins, what is refused, what is kept.

use std::collections::HashMap;

use crate::Millis;
use crate::budget::{Origin, Payment, Tokens};
use crate::once::{Attempt, DispatchError, FenceAck, OriginUsage, Retention, RunDispatch, RunId};

/// What to do with an accepted order.
#[derive(Debug, PartialEq, Eq)]
pub enum BeginOutcome<R> {
    /// Execute this run.
    New(R),
    /// The run is there already: follow it.
    Existing(R),
}

/// What became of a run that was to be withdrawn.
#[derive(Debug, PartialEq, Eq)]
pub enum WithdrawalOutcome<R> {
    /// It never began here and never will, up to the withdrawn attempt.
    NeverRuns,
    /// It goes on.
    Running(R),
    /// It ended.
    Ended(R),
    /// It ran, and its answer is no longer kept.
    AnswerDropped,
}

/// How far a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Running,
    /// It ended with its answer or with an unknown outcome, and is kept.
    Ended {
        at: Millis,
        bytes: usize,
    },
    /// It ended without an answer and surely without effect: it may begin anew if idempotent.
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
struct Poison {
    attempt: Attempt,
    until: Millis,
}

/// Memory of runs; `R` is a cheap handle on a run's events.
#[derive(Debug)]
pub struct RunTable<R> {
    incarnation: String,
    entries: HashMap<RunId, Entry<R>>,
    withdrawn: HashMap<RunId, Poison>,
    /// Non-idempotent runs whose answers were dropped, with the time of that.
    forgotten: HashMap<RunId, Millis>,
    usage: OriginUsage,
}

impl<R: Clone> RunTable<R> {
    /// Creates the empty memory of a side process's incarnation.
    pub fn new(incarnation: impl Into<String>) -> Self {
        Self {
            incarnation: incarnation.into(),
            entries: HashMap::new(),
            withdrawn: HashMap::new(),
            forgotten: HashMap::new(),
            usage: OriginUsage::new(),
        }
    }

    /// Begins a run, or finds the one that is there.
    ///
    /// # Errors
    ///
    /// [`DispatchError`]: nothing begins under this attempt.
    pub fn begin(
        &mut self,
        order: &RunDispatch,
        now: Millis,
        make: impl FnOnce() -> R,
    ) -> Result<BeginOutcome<R>, DispatchError> {
        let incarnation = order.incarnation.as_deref();
        if incarnation.is_some_and(|i| i != self.incarnation) {
            return Err(DispatchError::WrongIncarnation);
        }
        if let Some(entry) = self.entries.get(&order.run) {
            if entry.fingerprint != order.fingerprint {
                return Err(DispatchError::KeyReused);
            }
            let is_over = matches!(entry.state, State::Failed { .. });
            if !is_over || !order.is_idempotent {
                return Ok(BeginOutcome::Existing(entry.run.clone()));
            }
        }
        self.check_new(order, now)?;
        let run = make();
        let entry = Entry {
            run: run.clone(),
            fingerprint: order.fingerprint.clone(),
            payment: order.payment.clone(),
            is_idempotent: order.is_idempotent,
            state: State::Running,
        };
        self.entries.insert(order.run.clone(), entry);
        Ok(BeginOutcome::New(run))
    }

    fn check_new(&self, order: &RunDispatch, now: Millis) -> Result<(), DispatchError> {
        if self.forgotten.contains_key(&order.run) {
            return Err(DispatchError::AlreadyRan);
        }
        let poison = self.withdrawn.get(&order.run);
        if poison.is_some_and(|p| order.attempt <= p.attempt) {
            return Err(DispatchError::Withdrawn);
        }
        if now > order.start_by {
            return Err(DispatchError::DeadlinePassed);
        }
        let fenced = order
            .payment
            .as_ref()
            .and_then(|p| self.usage.fenced_origin(p));
        match fenced {
            Some(origin) => Err(DispatchError::Fenced { origin }),
            None => Ok(()),
        }
    }

    /// Returns a run if it is the request's.
    pub fn find(&self, run: &RunId, fingerprint: &str) -> Option<R> {
        let entry = self.entries.get(run)?;
        (entry.fingerprint == fingerprint).then(|| entry.run.clone())
    }

    /// Returns a run.
    pub fn get(&self, run: &RunId) -> Option<R> {
        self.entries.get(run).map(|e| e.run.clone())
    }

    /// Returns all runs with their identities.
    pub fn runs(&self) -> impl Iterator<Item = (&RunId, &R)> {
        self.entries.iter().map(|(id, e)| (id, &e.run))
    }

    /// Ends a run with what it cost; `bytes` is the size of the answer kept. A repeat of the end
    /// changes nothing.
    pub fn end(&mut self, run: &RunId, amount: Tokens, bytes: usize, now: Millis) {
        self.finish(run, amount, State::Ended { at: now, bytes });
    }

    /// Ends a run that failed without an answer and costs nothing.
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

    /// Makes sure that attempts up to this one never begin, unless the run is there; the
    /// withdrawal is remembered until `until`, which must lie behind every deadline of a dispatch.
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
        if self.forgotten.contains_key(run) {
            return WithdrawalOutcome::AnswerDropped;
        }
        let poison = Poison { attempt, until };
        let entry = self.withdrawn.entry(run.clone()).or_insert(poison);
        entry.attempt = entry.attempt.max(attempt);
        entry.until = entry.until.max(until);
        WithdrawalOutcome::NeverRuns
    }

    /// Refuses work paid with `origin` from now on, and says what was spent of it.
    pub fn fence(&mut self, origin: Origin) -> FenceAck {
        self.usage.fence(origin);
        let paid = |e: &&Entry<R>| {
            e.payment
                .as_ref()
                .is_some_and(|p| p.includes_origin(origin))
        };
        let running = self.entries.values().filter(paid);
        FenceAck {
            spent: self.usage.spent_of(origin),
            running: running.filter(|e| e.state == State::Running).count(),
        }
    }

    /// Forgets what `keep` does not keep, and withdrawals whose time is over.
    pub fn sweep(&mut self, keep: Retention, now: Millis) {
        self.withdrawn.retain(|_, p| p.until > now);
        self.forgotten.retain(|_, at| *at >= keep.outcomes_since);
        let mut ended: Vec<(Millis, usize, RunId)> = self.ended().collect();
        let mut bytes: usize = ended.iter().map(|(_, size, _)| size).sum();
        ended.sort_unstable();
        for (at, size, run) in ended {
            if at >= keep.answers_since && bytes <= keep.max_answer_bytes {
                return;
            }
            bytes -= size;
            self.forget(run, now);
        }
    }

    fn forget(&mut self, run: RunId, now: Millis) {
        let entry = self.entries.remove(&run);
        if entry.is_some_and(|e| !e.is_idempotent) {
            self.forgotten.insert(run, now);
        }
    }

    fn ended(&self) -> impl Iterator<Item = (Millis, usize, RunId)> {
        self.entries.iter().filter_map(|(id, e)| match e.state {
            State::Ended { at, bytes } => Some((at, bytes, id.clone())),
            State::Failed { at } => Some((at, 0, id.clone())),
            State::Running => None,
        })
    }

    /// Returns the number of runs that go on.
    pub fn running(&self) -> usize {
        let running = self.entries.values().filter(|e| e.state == State::Running);
        running.count()
    }
}
