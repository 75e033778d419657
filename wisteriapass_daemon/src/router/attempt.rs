//! One attempt of a request at one target.

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

/// Pieces of an answer between two words to the scheduler.
const PROGRESS_STEP: u32 = 8;

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The caller has the whole answer; it costs this.
    Answered(RunBill),
    /// The caller went away, and the run ended; it costs this.
    CallerDisconnected(RunBill),
    /// It did not run and will not; another target may.
    NotRun(Refusal, RetryReason),
    /// This incarnation of the side process does not have it.
    NoSuchRun,
    /// It ran and failed before its answer was whole; it costs this.
    Failed(RunBill),
    /// It may have run, or ran in part; it costs this, if that is known.
    Unknown(Refusal, Option<RunBill>),
}

/// Which run is attempted or followed.
#[derive(Clone, Copy, Debug)]
pub enum AttemptMode<'a> {
    /// Run it.
    Run(&'a Dispatch),
    /// Follow it where it is.
    Follow {
        /// Identity of the run.
        run: &'a str,
        /// Digest of the request's content.
        fingerprint: &'a str,
    },
}

/// An attempt at one target.
pub struct Attempt<'a> {
    order: AttemptMode<'a>,
    side: SocketAddr,
    control: SocketAddr,
    metrics: &'a Metrics,
    caller: &'a RpcClient,
    caller_gone: bool,
}

impl<'a> Attempt<'a> {
    /// Creates an attempt that was not sent yet.
    pub fn new(
        target: &Target,
        order: AttemptMode<'a>,
        metrics: &'a Metrics,
        caller: &'a RpcClient,
    ) -> Self {
        Self {
            order,
            side: target.side,
            control: target.side_control,
            metrics,
            caller,
            caller_gone: false,
        }
    }

    /// Sends the order and passes the answer on, telling the turn about it, if there is one.
    pub fn execute(
        mut self,
        answer: &mut AnswerWriter,
        turn: Option<&mut ScheduledRequest>,
    ) -> AttemptOutcome {
        let mut follower = self.follower();
        let mut progress = Progress::new(turn);
        loop {
            let event = match follower.next_event() {
                Ok(event) => event,
                Err(lost) => return self.lost(lost),
            };
            let sent = match event {
                RunEvent::Head { status, headers } => answer.send_head(status, &headers),
                RunEvent::Text { text } => answer.send_text(&text),
                RunEvent::Bytes { data } => answer.send_bytes(&data),
                RunEvent::End { finish, bill } => return self.ended(finish, bill, answer),
                RunEvent::Refused { refusal } => return refused(refusal),
                RunEvent::NoSuchRun => return AttemptOutcome::NoSuchRun,
                RunEvent::Attached { .. } | RunEvent::Beat => Ok(()),
            };
            progress.step();
            if sent.is_err() && !self.caller_gone {
                self.caller_gone = true;
                self.give_up();
            }
        }
    }

    fn follower(&self) -> RunStream<'a> {
        match self.order {
            AttemptMode::Run(dispatch) => RunStream::new(self.side, dispatch, self.metrics),
            AttemptMode::Follow { run, fingerprint } => {
                RunStream::attach(self.side, run, fingerprint, self.metrics)
            }
        }
    }

    /// Stops a run whose caller went away and cannot ask for it again; its end is waited for.
    fn give_up(&self) {
        let AttemptMode::Run(dispatch) = self.order else {
            return;
        };
        if dispatch.keyed {
            return;
        }
        let run = dispatch.run.clone();
        let cancelled = self
            .caller
            .call(self.control, |c| async move { c.cancel(run).await });
        if let Err(e) = cancelled {
            log::info!(target: "router", "Cannot cancel. run={} cause={e:?}", dispatch.run);
        }
    }

    fn ended(&self, finish: Finish, bill: RunBill, answer: &mut AnswerWriter) -> AttemptOutcome {
        if self.caller_gone {
            return AttemptOutcome::CallerDisconnected(bill);
        }
        match finish {
            Finish::Stop | Finish::Length => {
                // The run is billed whether or not its last bytes reach the caller.
                let _ = answer.send_end(finish, &bill);
                AttemptOutcome::Answered(bill)
            }
            Finish::Failed | Finish::Cancelled => AttemptOutcome::Failed(bill),
        }
    }

    fn lost(&self, lost: RunStreamError) -> AttemptOutcome {
        let message = "the side process cannot be reached";
        match lost {
            RunStreamError::NotSent => AttemptOutcome::NotRun(
                Refusal::not_run(Reason::NoTarget, message),
                RetryReason::NotSent,
            ),
            RunStreamError::ConnectionLost => self.withdraw(),
        }
    }

    /// Asks what became of a run that cannot be followed, and that it does not begin late.
    fn withdraw(&self) -> AttemptOutcome {
        let unknown = Refusal::outcome_unknown("the side process was lost");
        let AttemptMode::Run(dispatch) = self.order else {
            return AttemptOutcome::Unknown(unknown, None);
        };
        let (run, attempt) = (dispatch.run.clone(), dispatch.attempt);
        let incarnation = dispatch.incarnation.clone();
        let answer = self.caller.call(self.control, |c| async move {
            c.withdraw(run, attempt, incarnation).await
        });
        // Another incarnation cannot know what the one that was sent the dispatch did.
        let proves = |w: &WithdrawalAnswer| w.incarnation == dispatch.incarnation;
        match answer {
            Ok(w) if w.withdrawn == WithdrawalOutcome::NeverRuns && proves(&w) => {
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

/// Word to the scheduler of how far a run is, not for each token.
struct Progress<'a> {
    turn: Option<&'a mut ScheduledRequest>,
    pieces: u32,
}

impl<'a> Progress<'a> {
    fn new(turn: Option<&'a mut ScheduledRequest>) -> Self {
        Self { turn, pieces: 0 }
    }

    fn step(&mut self) {
        self.pieces += 1;
        let Some(turn) = &mut self.turn else {
            return;
        };
        if self.pieces == 1 {
            turn.record_first_token();
        } else if self.pieces.is_multiple_of(PROGRESS_STEP) {
            turn.record_progress(self.pieces);
        }
    }
}

fn refused(refusal: Refusal) -> AttemptOutcome {
    match refusal.ran {
        Ran::NotRun => AttemptOutcome::NotRun(refusal, RetryReason::Refused),
        Ran::OutcomeUnknown => AttemptOutcome::Unknown(refusal, None),
    }
}
