//! One attempt of a request at one target.

use std::net::SocketAddr;

use wisteriapass_config::Target;

use crate::api::Ran;
use crate::metrics::Retry;
use crate::prelude::*;
use crate::router::answer::Answer;
use crate::router::follower::{Follower, Lost};
use crate::router::turn::Turn;
use crate::rpc::{Caller, SideControlClient, Withdrawal, Withdrawn};
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
    NotRun(Refusal, Retry),
    /// It ran and failed before its first token; it costs this.
    Failed(RunBill),
    /// It may have run, or ran in part; it costs this, if that is known.
    Unknown(Refusal, Option<RunBill>),
}

/// An attempt at one target.
pub struct Attempt<'a> {
    dispatch: &'a Dispatch,
    side: SocketAddr,
    control: SocketAddr,
    metrics: &'a Metrics,
    caller: &'a Caller,
    caller_gone: bool,
}

impl<'a> Attempt<'a> {
    /// Creates an attempt that was not sent yet.
    pub fn new(
        target: &Target,
        dispatch: &'a Dispatch,
        metrics: &'a Metrics,
        caller: &'a Caller,
    ) -> Self {
        let (side, control) = (target.side, target.side_control);
        Self {
            dispatch,
            side,
            control,
            metrics,
            caller,
            caller_gone: false,
        }
    }

    /// Sends the dispatch and passes its answer on.
    pub fn carry_out(mut self, answer: &mut Answer, turn: &mut Turn) -> Ended {
        let mut follower = Follower::new(self.side, self.dispatch, self.metrics);
        let mut pieces = 0;
        loop {
            let event = match follower.next() {
                Ok(event) => event,
                Err(lost) => return self.lost(lost),
            };
            if !matches!(event, RunEvent::Refused { .. }) {
                pieces += 1;
                tell(turn, pieces);
            }
            let sent = match event {
                RunEvent::Head { status, headers } => answer.head(status, &headers),
                RunEvent::Text { text } => answer.text(&text),
                RunEvent::Bytes { data } => answer.bytes(&data),
                RunEvent::End { finish, bill } => return self.ended(finish, bill, answer),
                RunEvent::Refused { refusal } => return refused(refusal),
                RunEvent::Attached { .. } | RunEvent::Beat => Ok(()),
            };
            if sent.is_err() && !self.caller_gone {
                self.caller_gone = true;
                self.give_up();
            }
        }
    }

    /// Stops a run whose caller went away and cannot ask for it again; its end is waited for.
    fn give_up(&self) {
        if self.dispatch.keyed {
            return;
        }
        let run = self.dispatch.run.clone();
        let cancelled = self
            .caller
            .call(self.control, |c| async move { c.cancel(run).await });
        if let Err(e) = cancelled {
            log::info!(target: "router", "Cannot cancel. run={} cause={e:?}", self.dispatch.run);
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
            Lost::NotSent => {
                Ended::NotRun(Refusal::not_run(Reason::NoTarget, message), Retry::NotSent)
            }
            Lost::Sent => self.withdraw(),
        }
    }

    /// Asks what became of a run that cannot be followed, and that it does not begin late.
    fn withdraw(&self) -> Ended {
        let (run, attempt) = (self.dispatch.run.clone(), self.dispatch.attempt);
        let answer = self.caller.call(
            self.control,
            |c| async move { c.withdraw(run, attempt).await },
        );
        let unknown = Refusal::outcome_unknown("the side process was lost");
        // Another incarnation cannot know what the one that was sent the dispatch did.
        let proves = |w: &Withdrawal| w.incarnation == self.dispatch.incarnation;
        match answer {
            Ok(w) if w.withdrawn == Withdrawn::NeverRuns && proves(&w) => {
                let refusal = Refusal::not_run(Reason::NoTarget, "the dispatch was withdrawn");
                Ended::NotRun(refusal, Retry::Silent)
            }
            Ok(Withdrawal {
                withdrawn: Withdrawn::Ended { bill },
                ..
            }) => Ended::Unknown(unknown, Some(bill)),
            Ok(_) | Err(_) => Ended::Unknown(unknown, None),
        }
    }
}

/// Tells the scheduler how far the run is, not for each token.
fn tell(turn: &mut Turn, pieces: u32) {
    if pieces == 1 {
        turn.first_token();
    } else if pieces.is_multiple_of(PROGRESS_STEP) {
        turn.progress(pieces);
    }
}

fn refused(refusal: Refusal) -> Ended {
    match refusal.ran {
        Ran::NotRun => Ended::NotRun(refusal, Retry::Refused),
        Ran::OutcomeUnknown => Ended::Unknown(refusal, None),
    }
}
