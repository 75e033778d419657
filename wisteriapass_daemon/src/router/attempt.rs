//! One attempt of a request at one target.

use std::net::SocketAddr;

use crate::api::Ran;
use crate::metrics::Retry;
use crate::prelude::*;
use crate::router::answer::Answer;
use crate::router::follower::{Follower, Lost};
use crate::router::turn::Turn;
use crate::run_wire::{Dispatch, Finish, RunBill, RunEvent};

/// Pieces of an answer between two words to the scheduler.
const PROGRESS_STEP: u32 = 8;

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The caller has the whole answer; it costs this.
    Answered(RunBill),
    /// The caller went away.
    CallerGone,
    /// It did not run and will not; another target may.
    NotRun(Refusal, Retry),
    /// It ran and failed before its first token; it costs this.
    Failed(RunBill),
    /// It may have run, or ran in part.
    Unknown(Refusal),
}

/// Sends a dispatch and passes its answer on.
pub fn carry_out(
    side: SocketAddr,
    dispatch: &Dispatch,
    answer: &mut Answer,
    turn: &mut Turn,
    metrics: &Metrics,
) -> Ended {
    let mut follower = Follower::new(side, dispatch, metrics);
    let mut pieces = 0;
    loop {
        let event = match follower.next() {
            Ok(event) => event,
            Err(lost) => return ended_by_loss(lost),
        };
        if !matches!(event, RunEvent::Refused { .. }) {
            pieces += 1;
            tell(turn, pieces);
        }
        let sent = match event {
            RunEvent::Head { status, headers } => answer.head(status, &headers),
            RunEvent::Text { text } => answer.text(&text),
            RunEvent::Bytes { data } => answer.bytes(&data),
            RunEvent::End { finish, bill } => return ended(finish, bill, answer),
            RunEvent::Refused { refusal } => return refused(refusal),
            RunEvent::Attached { .. } | RunEvent::Beat => Ok(()),
        };
        if sent.is_err() {
            return Ended::CallerGone;
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

fn ended(finish: Finish, bill: RunBill, answer: &mut Answer) -> Ended {
    match finish {
        Finish::Stop | Finish::Length => {
            // The run is billed whether or not its last bytes reach the caller, who may ask again.
            let _ = answer.end(finish, &bill);
            Ended::Answered(bill)
        }
        Finish::Failed | Finish::Cancelled => Ended::Failed(bill),
    }
}

fn refused(refusal: Refusal) -> Ended {
    match refusal.ran {
        Ran::NotRun => Ended::NotRun(refusal, Retry::Refused),
        Ran::OutcomeUnknown => Ended::Unknown(refusal),
    }
}

fn ended_by_loss(lost: Lost) -> Ended {
    match lost {
        Lost::NotSent => {
            let message = "the side process cannot be reached";
            let refusal = Refusal::not_run(Reason::NoTarget, message);
            Ended::NotRun(refusal, Retry::NotSent)
        }
        Lost::Sent => Ended::Unknown(Refusal::outcome_unknown("the side process was lost")),
    }
}
