//! A run and its events so far, which any number of routers may follow.

use parking_lot::{Condvar, Mutex};

use crate::prelude::*;
use crate::run_wire::{Dispatch, Finish, RunBill, RunEvent};

/// Maximum size of the answer of one run, in bytes. It is kept for routers that attach again.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Result of waiting for an event of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextEvent {
    /// The event at the requested index.
    Event(RunEvent),
    /// No event arrived before the deadline.
    Idle,
    /// The run ended before the requested index.
    Ended,
}

#[derive(Default)]
struct State {
    events: Vec<RunEvent>,
    /// Size of the answer so far, in bytes.
    bytes: usize,
    ended_at: Option<Instant>,
    cancelled: bool,
    followers: usize,
    unfollowed_since: Option<Instant>,
}

/// A run at the target.
pub struct Run {
    dispatch: Dispatch,
    state: Mutex<State>,
    changed: Condvar,
}

impl Run {
    /// Creates a run that has not started.
    pub fn new(dispatch: Dispatch) -> Self {
        Self {
            dispatch,
            state: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    /// Returns the dispatch that started the run.
    pub fn dispatch(&self) -> &Dispatch {
        &self.dispatch
    }

    /// Adds an event; events after the end are ignored, and so is output beyond the maximum size of an
    /// answer, after which the executor ends the run.
    pub fn push(&self, event: RunEvent) {
        let mut state = self.state.lock();
        if state.ended_at.is_some() {
            return;
        }
        let size = output_size(&event);
        if size > 0 {
            state.bytes = state.bytes.saturating_add(size);
            if state.bytes > MAX_ANSWER_BYTES {
                return;
            }
        }
        if matches!(event, RunEvent::End { .. } | RunEvent::Refused { .. }) {
            state.ended_at = Some(Instant::now());
        }
        state.events.push(event);
        self.changed.notify_all();
    }

    /// Returns whether the answer exceeds the maximum size.
    pub fn is_too_large(&self) -> bool {
        self.state.lock().bytes > MAX_ANSWER_BYTES
    }

    /// Waits for the event at `index` until `deadline`.
    pub fn wait_for_event(&self, index: usize, deadline: Instant) -> NextEvent {
        let mut state = self.state.lock();
        loop {
            if let Some(event) = state.events.get(index) {
                return NextEvent::Event(event.clone());
            }
            if state.ended_at.is_some() {
                return NextEvent::Ended;
            }
            if self.changed.wait_until(&mut state, deadline).timed_out() {
                return NextEvent::Idle;
            }
        }
    }

    /// Registers a follower.
    pub fn add_follower(&self) {
        let mut state = self.state.lock();
        state.followers += 1;
        state.unfollowed_since = None;
    }

    /// Unregisters a follower.
    pub fn remove_follower(&self) {
        let mut state = self.state.lock();
        state.followers = state.followers.saturating_sub(1);
        if state.followers == 0 {
            state.unfollowed_since = Some(Instant::now());
        }
    }

    /// Returns the time at which the last follower left; none if the run has followers or never had
    /// any.
    pub fn unfollowed_since(&self) -> Option<Instant> {
        self.state.lock().unfollowed_since
    }

    /// Asks the executor to stop the run.
    pub fn cancel(&self) {
        self.state.lock().cancelled = true;
    }

    /// Returns whether the run was cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.state.lock().cancelled
    }

    /// Returns the time at which the run ended, if it has.
    pub fn ended_at(&self) -> Option<Instant> {
        self.state.lock().ended_at
    }

    /// Returns whether the run ended without a complete answer: the target failed, or the run was
    /// cancelled.
    pub fn has_failed(&self) -> bool {
        matches!(
            self.state.lock().events.last(),
            Some(RunEvent::End {
                finish: Finish::Failed | Finish::Cancelled,
                ..
            })
        )
    }

    /// Returns the bill, if the run ended with one.
    pub fn bill(&self) -> Option<RunBill> {
        match self.state.lock().events.last() {
            Some(RunEvent::End { bill, .. }) => Some(bill.clone()),
            _ => None,
        }
    }

    /// Ends the run with a bill for at most the reserved amount.
    pub fn end(&self, ran_at: &str, finish: Finish, prompt_tokens: u64, output_tokens: u64) {
        let payment = self.dispatch.payment.clone().map(Box::new);
        let reserved = payment.as_ref().map_or(0, |p| p.total().0);
        let amount = match finish {
            Finish::Failed => 0,
            Finish::Stop | Finish::Length | Finish::Cancelled => {
                reserved.min(prompt_tokens.saturating_add(output_tokens))
            }
        };
        let bill = RunBill {
            run: self.dispatch.run.clone(),
            ran_at: ran_at.into(),
            account: self.dispatch.account.clone(),
            payment,
            amount,
            prompt_tokens,
            output_tokens,
        };
        self.push(RunEvent::End { finish, bill });
    }
}

/// Returns the size of the output in an event, in bytes.
fn output_size(event: &RunEvent) -> usize {
    match event {
        RunEvent::Text { text } => text.len(),
        RunEvent::Bytes { data } => data.0.len(),
        _ => 0,
    }
}
