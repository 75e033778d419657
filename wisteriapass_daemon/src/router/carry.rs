//! One request on its way: money, turn, attempts, settlement.

use std::net::SocketAddr;

use wisteriapass_coord::budget::Reservation;
use wisteriapass_policy::FailureKind;

use crate::api::Ran;
use crate::metrics::Retry;
use crate::prelude::*;
use crate::router::answer::Answer;
use crate::router::asked::Asked;
use crate::router::attempt::{Attempt, Ended};
use crate::router::pipeline::Pipeline;
use crate::router::turn::Turn;
use crate::router::unsettled::OpenReservation;
use crate::run_wire::RunBill;

/// Attempts of one request at most.
const MOST_ATTEMPTS: u32 = 3;

/// A request being carried through.
pub struct Carry<'a> {
    pipeline: &'a Pipeline,
    asked: &'a Asked,
    run: &'a str,
    may_have_run: bool,
}

/// What follows an attempt.
enum Step {
    /// The request is done.
    Done,
    /// Another attempt may be made; this would be the answer otherwise.
    Again(Refusal, FailureKind),
}

/// A dispatch that was sent.
struct Sent {
    reservation: Option<Reservation>,
    control: SocketAddr,
    attempt: u32,
}

impl<'a> Carry<'a> {
    /// Creates the way of a request that was not tried yet.
    pub fn new(pipeline: &'a Pipeline, asked: &'a Asked, run: &'a str) -> Self {
        Self {
            pipeline,
            asked,
            run,
            may_have_run: false,
        }
    }

    /// Carries the request through.
    ///
    /// # Errors
    ///
    /// The [`Refusal`] that is its final answer.
    pub fn through(mut self, answer: &mut Answer) -> Result<(), Refusal> {
        let ended = self.attempts(answer);
        ended.map_err(|refusal| self.truthful(refusal))
    }

    /// "Not run" is said only if no attempt may have run.
    fn truthful(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run {
            return Refusal {
                ran: Ran::OutcomeUnknown,
                ..refusal
            };
        }
        refusal
    }

    fn attempts(&mut self, answer: &mut Answer) -> Result<(), Refusal> {
        let mut turn = self.pipeline.offer(self.asked)?;
        let mut last = None;
        for attempt in 1..=MOST_ATTEMPTS {
            match self.attempt(attempt, &mut turn, answer) {
                Ok(Step::Done) => return Ok(()),
                Ok(Step::Again(refusal, kind)) => {
                    turn.failed(kind);
                    last = Some(refusal);
                }
                // What an earlier attempt said tells more than that there is no further one.
                Err(refusal) => return Err(last.unwrap_or(refusal)),
            }
        }
        Err(last.unwrap_or_else(|| Refusal::not_run(Reason::NoTarget, "no target answered")))
    }

    fn attempt(
        &mut self,
        attempt: u32,
        turn: &mut Turn,
        answer: &mut Answer,
    ) -> Result<Step, Refusal> {
        let reservation = self.pipeline.reserve(self.asked)?;
        let placed = match turn.wait(&self.pipeline.stop) {
            Ok(placed) => placed,
            Err(refusal) => {
                self.release(reservation);
                return Err(refusal);
            }
        };
        let document = self.pipeline.config.document();
        let Some(target) = document.inventory.target_named(&placed.target) else {
            self.release(reservation);
            let refusal = Refusal::not_run(Reason::NoTarget, "the target left");
            return Ok(Step::Again(refusal, FailureKind::Unreachable));
        };
        let dispatch = self
            .pipeline
            .dispatch(self.asked, self.run, attempt, reservation.as_ref());
        let (metrics, caller) = (&self.pipeline.metrics, &self.pipeline.caller);
        let ended = Attempt::new(target, &dispatch, metrics, caller).carry_out(answer, turn);
        let sent = Sent {
            reservation,
            control: target.side_control,
            attempt,
        };
        self.settle(sent, ended, turn, answer)
    }

    fn settle(
        &mut self,
        sent: Sent,
        ended: Ended,
        turn: &mut Turn,
        answer: &mut Answer,
    ) -> Result<Step, Refusal> {
        match ended {
            Ended::Answered(bill) => {
                turn.finished(u32::try_from(bill.output_tokens).unwrap_or(u32::MAX));
                self.settle_bill(sent.reservation, &bill);
                Ok(Step::Done)
            }
            Ended::CallerGone(bill) => {
                self.settle_bill(sent.reservation, &bill);
                Ok(Step::Done)
            }
            Ended::NotRun(refusal, reason) => {
                self.release(sent.reservation);
                self.count(reason);
                let kind = match reason {
                    Retry::NotSent => FailureKind::Unreachable,
                    _ => FailureKind::Declined,
                };
                Ok(Step::Again(refusal, kind))
            }
            Ended::Failed(bill) => {
                self.may_have_run = true;
                self.settle_bill(sent.reservation, &bill);
                let message = "the target failed before the answer was whole";
                let refusal = Refusal::not_run(Reason::TargetFailed, message);
                self.again(
                    refusal,
                    FailureKind::TargetError,
                    Retry::TargetFailed,
                    answer,
                )
            }
            Ended::Unknown(refusal, bill) => {
                self.may_have_run = true;
                self.settle_unknown(sent, bill);
                self.again(refusal, FailureKind::ConnectionLost, Retry::Broken, answer)
            }
        }
    }

    fn settle_bill(&self, reservation: Option<Reservation>, bill: &RunBill) {
        if let Some(reservation) = reservation {
            self.pipeline.money.settle(reservation, bill);
        }
    }

    fn release(&self, reservation: Option<Reservation>) {
        if let Some(reservation) = reservation {
            self.pipeline.money.release(reservation);
        }
    }

    /// Settles a run whose answer is lost, at once or when its side process can be asked.
    fn settle_unknown(&self, sent: Sent, bill: Option<RunBill>) {
        let Some(reservation) = sent.reservation else {
            return;
        };
        match bill {
            Some(bill) => self.pipeline.money.settle(reservation, &bill),
            None => self.pipeline.unsettled.keep(OpenReservation {
                reservation,
                control: sent.control,
                run: self.run.into(),
                attempt: sent.attempt,
            }),
        }
    }

    /// Allows another attempt of what may have run, if it is idempotent and the caller has no part.
    fn again(
        &self,
        refusal: Refusal,
        kind: FailureKind,
        reason: Retry,
        answer: &mut Answer,
    ) -> Result<Step, Refusal> {
        if !self.asked.idempotent || answer.has_begun() {
            return Err(refusal);
        }
        answer.reset();
        self.count(reason);
        Ok(Step::Again(refusal, kind))
    }

    fn count(&self, reason: Retry) {
        log::info!(target: "router", "Attempt failed. run={} reason={reason}", self.run);
        self.pipeline.metrics.retry(reason);
    }
}
