//! One attempt to run a request at a target.

use std::net::SocketAddr;

use wisteriapass_config::Target;

use crate::api::Ran;
use crate::metrics::RetryReason;
use crate::prelude::*;
use crate::router::answer::AnswerWriter;
use crate::router::run_stream::{RunStream, RunStreamError};
use crate::router::scheduled_request::ScheduledRequest;
use crate::rpc::{RpcClient, SideControlClient, WithdrawalAnswer, WithdrawalOutcome};
use crate::run_wire::{Dispatch, Finish, RunBill, RunEvent};

/// Number of events between two progress reports to the scheduler.
const PROGRESS_INTERVAL: u32 = 8;

/// Outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The answer was sent completely; its bill.
    Answered(RunBill),
    /// The caller closed the connection, and the run ended; its bill.
    CallerDisconnected(RunBill),
    /// It did not run and will not run; another target may run it.
    NotRun(Refusal, RetryReason),
    /// This incarnation of the side process does not know the run.
    NoSuchRun,
    /// It ran and failed before the answer was complete; its bill.
    Failed(RunBill),
    /// It may have run, at least in part; its bill, if known.
    Unknown(Refusal, Option<RunBill>),
}

/// Whether an attempt dispatches a request or follows an existing run.
#[derive(Clone, Copy, Debug)]
pub enum AttemptMode<'a> {
    /// Dispatches the request to be run.
    Run(&'a Dispatch),
    /// Follows an existing run.
    Follow {
        /// Identity of the run.
        run: &'a str,
        /// Digest of the request's content.
        fingerprint: &'a str,
    },
}

/// An attempt to run a request at a target.
pub struct RunAttempt<'a> {
    mode: AttemptMode<'a>,
    side: SocketAddr,
    control: SocketAddr,
    metrics: &'a Metrics,
    rpc: &'a RpcClient,
    caller_disconnected: bool,
}

impl<'a> RunAttempt<'a> {
    /// Creates an attempt that has sent nothing yet.
    pub fn new(
        target: &Target,
        mode: AttemptMode<'a>,
        metrics: &'a Metrics,
        rpc: &'a RpcClient,
    ) -> Self {
        Self {
            mode,
            side: target.side,
            control: target.side_control,
            metrics,
            rpc,
            caller_disconnected: false,
        }
    }

    /// Dispatches or follows the run, forwards the answer to the caller, and reports progress to
    /// the scheduler if `scheduled` is given.
    pub fn execute(
        mut self,
        answer: &mut AnswerWriter,
        scheduled: Option<&mut ScheduledRequest>,
    ) -> AttemptOutcome {
        let mut stream = self.open_stream();
        let mut progress = Progress::new(scheduled);
        loop {
            let event = match stream.next_event() {
                Ok(event) => event,
                Err(e) => return self.handle_stream_error(e),
            };
            let sent = match event {
                RunEvent::Head { status, headers } => answer.send_head(status, &headers),
                RunEvent::Text { text } => answer.send_text(&text),
                RunEvent::Bytes { data } => answer.send_bytes(&data),
                RunEvent::End { finish, bill } => return self.handle_end(finish, bill, answer),
                RunEvent::Refused { refusal } => return refusal_outcome(refusal),
                RunEvent::NoSuchRun => return AttemptOutcome::NoSuchRun,
                RunEvent::Attached { .. } | RunEvent::Beat => Ok(()),
            };
            progress.record_event();
            if sent.is_err() && !self.caller_disconnected {
                self.caller_disconnected = true;
                self.cancel_if_unkeyed();
            }
        }
    }

    fn open_stream(&self) -> RunStream<'a> {
        match self.mode {
            AttemptMode::Run(dispatch) => RunStream::new(self.side, dispatch, self.metrics),
            AttemptMode::Follow { run, fingerprint } => {
                RunStream::attach(self.side, run, fingerprint, self.metrics)
            }
        }
    }

    /// Cancels a run whose caller has disconnected and has no key to repeat the request.
    ///
    /// The attempt then still waits for the end of the run.
    fn cancel_if_unkeyed(&self) {
        let AttemptMode::Run(dispatch) = self.mode else {
            return;
        };
        if dispatch.keyed {
            return;
        }
        let run = dispatch.run.clone();
        let result = self
            .rpc
            .call(self.control, |c| async move { c.cancel(run).await });
        if let Err(e) = result {
            log::info!(target: "router", "Cannot cancel a run. run={} cause={e:?}", dispatch.run);
        }
    }

    fn handle_end(
        &self,
        finish: Finish,
        bill: RunBill,
        answer: &mut AnswerWriter,
    ) -> AttemptOutcome {
        if self.caller_disconnected {
            return AttemptOutcome::CallerDisconnected(bill);
        }
        match finish {
            Finish::Stop | Finish::Length => {
                // The run is billed even if its last bytes do not reach the caller.
                let _ = answer.send_end(finish, &bill);
                AttemptOutcome::Answered(bill)
            }
            Finish::Failed | Finish::Cancelled => AttemptOutcome::Failed(bill),
        }
    }

    fn handle_stream_error(&self, e: RunStreamError) -> AttemptOutcome {
        let message = "the side process cannot be reached";
        match e {
            RunStreamError::NotSent => AttemptOutcome::NotRun(
                Refusal::not_run(Reason::NoTarget, message),
                RetryReason::NotSent,
            ),
            RunStreamError::ConnectionLost => self.withdraw(),
        }
    }

    /// Withdraws a run that cannot be followed, so that it does not start later, and returns its
    /// outcome.
    fn withdraw(&self) -> AttemptOutcome {
        let unknown = Refusal::outcome_unknown("the connection to the side process was lost");
        let AttemptMode::Run(dispatch) = self.mode else {
            return AttemptOutcome::Unknown(unknown, None);
        };
        let (run, attempt) = (dispatch.run.clone(), dispatch.attempt);
        let incarnation = dispatch.incarnation.clone();
        let answer = self.rpc.call(self.control, |c| async move {
            c.withdraw(run, attempt, incarnation).await
        });
        // Another incarnation does not know what the one that received the dispatch did.
        let is_addressee = |w: &WithdrawalAnswer| w.incarnation == dispatch.incarnation;
        match answer {
            Ok(w) if w.withdrawn == WithdrawalOutcome::NeverRuns && is_addressee(&w) => {
                let refusal = Refusal::not_run(Reason::NoTarget, "the dispatch was withdrawn");
                AttemptOutcome::NotRun(refusal, RetryReason::Silent)
            }
            Ok(WithdrawalAnswer {
                withdrawn: WithdrawalOutcome::Ended { bill },
                ..
            }) => AttemptOutcome::Unknown(unknown, Some(bill)),
            Ok(_) | Err(_) => AttemptOutcome::Unknown(unknown, None),
        }
    }
}

/// Progress reports to the scheduler, limited to one per [`PROGRESS_INTERVAL`] events.
struct Progress<'a> {
    scheduled: Option<&'a mut ScheduledRequest>,
    events: u32,
}

impl<'a> Progress<'a> {
    fn new(scheduled: Option<&'a mut ScheduledRequest>) -> Self {
        Self {
            scheduled,
            events: 0,
        }
    }

    fn record_event(&mut self) {
        self.events += 1;
        let Some(scheduled) = &mut self.scheduled else {
            return;
        };
        if self.events == 1 {
            scheduled.record_first_token();
        } else if self.events.is_multiple_of(PROGRESS_INTERVAL) {
            scheduled.record_progress(self.events);
        }
    }
}

fn refusal_outcome(refusal: Refusal) -> AttemptOutcome {
    match refusal.ran {
        Ran::NotRun => AttemptOutcome::NotRun(refusal, RetryReason::Refused),
        Ran::OutcomeUnknown => AttemptOutcome::Unknown(refusal, None),
    }
}
