//! One attempt of a request at one target.

use std::net::SocketAddr;

use wisteriapass_config::Target;

use crate::api::Ran;
use crate::metrics::RetryReason;
use crate::prelude::*;
use crate::router::answer::Answer;
use crate::router::run_stream::{Follower, Lost};
use crate::router::scheduled_request::Turn;
use crate::rpc::{RpcClient, SideControlClient, WithdrawalAnswer, WithdrawalOutcome};
use crate::run_wire::{Dispatch, Finish, RunBill, RunEvent};

/// Pieces of an answer between two words to the scheduler.
const PROGRESS_STEP: u32 = 8;

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The caller has the whole answer; it costs this.
    Answered(RunBill),
    /// The caller went away, and the run ended; it costs this.
    CallerGone(RunBill),
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
pub enum Order<'a> {
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
    order: Order<'a>,
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
        order: Order<'a>,
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
    pub fn carry_out(mut self, answer: &mut Answer, turn: Option<&mut Turn>) -> Ended {
        let mut follower = self.follower();
        let mut progress = Progress::new(turn);
        loop {
            let event = match follower.next() {
                Ok(event) => event,
                Err(lost) => return self.lost(lost),
            };
            let sent = match event {
                RunEvent::Head { status, headers } => answer.head(status, &headers),
                RunEvent::Text { text } => answer.text(&text),
                RunEvent::Bytes { data } => answer.bytes(&data),
                RunEvent::End { finish, bill } => return self.ended(finish, bill, answer),
                RunEvent::Refused { refusal } => return refused(refusal),
                RunEvent::NoSuchRun => return Ended::NoSuchRun,
                RunEvent::Attached { .. } | RunEvent::Beat => Ok(()),
            };
            progress.step();
            if sent.is_err() && !self.caller_gone {
                self.caller_gone = true;
                self.give_up();
            }
        }
    }

    fn follower(&self) -> Follower<'a> {
        match self.order {
            Order::Run(dispatch) => Follower::new(self.side, dispatch, self.metrics),
            Order::Follow { run, fingerprint } => {
                Follower::with_attachment(self.side, run, fingerprint, self.metrics)
            }
        }
    }

    /// Stops a run whose caller went away and cannot ask for it again; its end is waited for.
    fn give_up(&self) {
        let Order::Run(dispatch) = self.order else {
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

    fn ended(&self, finish: Finish, bill: RunBill, answer: &mut Answer) -> Ended {
        if self.caller_gone {
            return Ended::CallerGone(bill);
        }
        match finish {
            Finish::Stop | Finish::Length => {
                // The run is billed whether or not its last bytes reach the caller.
                let _ = answer.end(finish, &bill);
                Ended::Answered(bill)
            }
            Finish::Failed | Finish::Cancelled => Ended::Failed(bill),
        }
    }

    fn lost(&self, lost: Lost) -> Ended {
        let message = "the side process cannot be reached";
        match lost {
            Lost::NotSent => Ended::NotRun(
                Refusal::not_run(Reason::NoTarget, message),
                RetryReason::NotSent,
            ),
            Lost::Sent => self.withdraw(),
        }
    }

    /// Asks what became of a run that cannot be followed, and that it does not begin late.
    fn withdraw(&self) -> Ended {
        let unknown = Refusal::outcome_unknown("the side process was lost");
        let Order::Run(dispatch) = self.order else {
            return Ended::Unknown(unknown, None);
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
                Ended::NotRun(refusal, RetryReason::Silent)
            }
            Ok(WithdrawalAnswer {
                withdrawn: WithdrawalOutcome::Ended { bill },
                ..
            }) => Ended::Unknown(unknown, Some(bill)),
            Ok(_) | Err(_) => Ended::Unknown(unknown, None),
        }
    }
}

/// Word to the scheduler of how far a run is, not for each token.
struct Progress<'a> {
    turn: Option<&'a mut Turn>,
    pieces: u32,
}

impl<'a> Progress<'a> {
    fn new(turn: Option<&'a mut Turn>) -> Self {
        Self { turn, pieces: 0 }
    }

    fn step(&mut self) {
        self.pieces += 1;
        let Some(turn) = &mut self.turn else {
            return;
        };
        if self.pieces == 1 {
            turn.first_token();
        } else if self.pieces.is_multiple_of(PROGRESS_STEP) {
            turn.progress(self.pieces);
        }
    }
}

fn refused(refusal: Refusal) -> Ended {
    match refusal.ran {
        Ran::NotRun => Ended::NotRun(refusal, RetryReason::Refused),
        Ran::OutcomeUnknown => Ended::Unknown(refusal, None),
    }
}
