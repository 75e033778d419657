//! One request on its way: found where it runs already, or money, turn, attempts, settlement.

use std::net::SocketAddr;

use wisteriapass_config::{Document, Target};
use wisteriapass_coord::budget::Reservation;
use wisteriapass_coord::once::{ClaimOpId, Place, RunId};
use wisteriapass_policy::FailureKind;

use crate::api::Ran;
use crate::metrics::RetryReason;
use crate::prelude::*;
use crate::router::answer::AnswerWriter;
use crate::router::attempt::{Attempt, AttemptMode, AttemptOutcome};
use crate::router::checked_request::CheckedRequest;
use crate::router::pipeline::Pipeline;
use crate::router::run_locator::{Lookup, RunLocation};
use crate::router::scheduled_request::ScheduledRequest;
use crate::router::unsettled::{AwaitedEvent, UnsettledReservation};
use crate::run_wire::{Dispatch, RunBill};

/// Attempts of one request at most.
const MOST_ATTEMPTS: u32 = 3;

/// A request being carried through.
pub struct RequestExecution<'a> {
    pipeline: &'a Pipeline,
    asked: &'a CheckedRequest,
    run: RunId,
    /// Whether an attempt, here or at another router, may have run.
    may_have_run: bool,
    /// The operation under which its homes, and for what may not be repeated the service, have its
    /// claim.
    claim: Option<ClaimOpId>,
    /// A place where it was or may have been, and which has gone.
    gone: Option<Place>,
}

/// What follows an attempt.
enum Step {
    /// The request is done.
    Done,
    /// Another attempt may be made; this would be the answer otherwise.
    Again(Refusal, FailureKind),
}

/// A dispatch that was sent, with the money reserved for it.
struct Sent {
    reservation: Option<Reservation>,
    dispatch: Dispatch,
    control: SocketAddr,
    located: RunLocation,
}

impl<'a> RequestExecution<'a> {
    /// Creates the way of a request that was not tried yet.
    pub fn new(pipeline: &'a Pipeline, asked: &'a CheckedRequest, run: &str) -> Self {
        Self {
            pipeline,
            asked,
            run: RunId::from_text(run),
            may_have_run: false,
            claim: None,
            gone: None,
        }
    }

    /// Carries the request through.
    ///
    /// # Errors
    ///
    /// The [`Refusal`] that is its final answer.
    pub fn run_to_answer(mut self, answer: &mut AnswerWriter) -> Result<(), Refusal> {
        let ended = self.known_or_new(answer);
        ended.map_err(|refusal| self.truthful(refusal))
    }

    /// "Not run" is said only if no attempt, here or elsewhere, may have run.
    fn truthful(&self, refusal: Refusal) -> Refusal {
        if refusal.reason == Reason::KeyReused || refusal.ran == Ran::OutcomeUnknown {
            return refusal;
        }
        if self.may_have_run {
            return refusal.with_unknown_outcome();
        }
        if let Some(claim) = &self.claim {
            // A repeat that finds the claim could not tell that nothing ran under it.
            let document = self.pipeline.config.document();
            self.pipeline
                .locator
                .release_at_homes(&document, &self.run, claim);
            return refusal;
        }
        self.pipeline.refusal_without_attempt(self.asked, refusal)
    }

    fn known_or_new(&mut self, answer: &mut AnswerWriter) -> Result<(), Refusal> {
        // Before anything can refuse it: a repeat of what runs elsewhere must not hear "not run".
        if self.asked.idempotency_key.is_some() && self.follow_known(answer)? {
            return Ok(());
        }
        self.attempts(answer)
    }

    /// Follows the request where it runs already; returns whether its answer was given.
    fn follow_known(&mut self, answer: &mut AnswerWriter) -> Result<bool, Refusal> {
        let document = self.pipeline.config.document();
        match self.pipeline.locator.lookup(&document, &self.run) {
            Lookup::NotFound => Ok(false),
            Lookup::Unknown => {
                self.may_have_run = true;
                Ok(false)
            }
            Lookup::At(place) => self.follow_at(&document, place, answer),
        }
    }

    fn follow_at(
        &mut self,
        document: &Document,
        place: Place,
        answer: &mut AnswerWriter,
    ) -> Result<bool, Refusal> {
        let Some(target) = document.inventory.target_named(&place.side) else {
            self.lose(place);
            return Ok(false);
        };
        let order = AttemptMode::Follow {
            run: self.run.as_str(),
            fingerprint: &self.asked.fingerprint,
        };
        let (metrics, caller) = (&self.pipeline.metrics, &self.pipeline.rpc);
        match Attempt::new(target, order, metrics, caller).execute(answer, None) {
            AttemptOutcome::Answered(bill) | AttemptOutcome::CallerDisconnected(bill) => {
                // The router that sent it may have died.
                self.pipeline.money.add_foreign_bill(&bill);
                Ok(true)
            }
            AttemptOutcome::NoSuchRun => {
                // It was claimed for there, and has not arrived; or that incarnation has gone.
                if !self.pipeline.incarnations.is_current(target, &place) {
                    self.lose(place);
                }
                Ok(false)
            }
            AttemptOutcome::NotRun(refusal, _) if refusal.reason == Reason::KeyReused => {
                Err(refusal)
            }
            AttemptOutcome::NotRun(..) => {
                self.lose(place);
                Ok(false)
            }
            AttemptOutcome::Failed(_) => {
                let message = "the target failed before the answer was whole";
                self.after_loss(Refusal::not_run(Reason::TargetFailed, message), answer)
            }
            AttemptOutcome::Unknown(refusal, _) => {
                self.lose(place);
                self.after_loss(refusal, answer)
            }
        }
    }

    /// Notes a place where the request may have run, and which has gone.
    fn lose(&mut self, place: Place) {
        self.may_have_run = true;
        self.pipeline.incarnations.forget(&place);
        self.gone = Some(place);
    }

    /// Allows an attempt after a run whose answer is lost, if it is idempotent.
    fn after_loss(&mut self, refusal: Refusal, answer: &mut AnswerWriter) -> Result<bool, Refusal> {
        self.may_have_run = true;
        if !self.asked.idempotent || answer.has_started() {
            return Err(refusal);
        }
        answer.discard_text();
        Ok(false)
    }

    fn attempts(&mut self, answer: &mut AnswerWriter) -> Result<(), Refusal> {
        let mut turn = self.pipeline.schedule(self.asked)?;
        let mut last = None;
        for attempt in 1..=MOST_ATTEMPTS {
            match self.attempt(attempt, &mut turn, answer) {
                Ok(Step::Done) => return Ok(()),
                Ok(Step::Again(refusal, kind)) => {
                    // A part that came here and was not passed on does not count.
                    if turn.record_failure(kind) {
                        turn = self.pipeline.schedule(self.asked)?;
                    }
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
        turn: &mut ScheduledRequest,
        answer: &mut AnswerWriter,
    ) -> Result<Step, Refusal> {
        let reservation = self.pipeline.reserve(self.asked)?;
        let located = self.locate(attempt, turn);
        let (document, located) = match located {
            Ok(found) => found,
            Err(refusal) => {
                self.release(reservation);
                return Err(refusal);
            }
        };
        let Some(located) = located else {
            self.release(reservation);
            let refusal = Refusal::not_run(Reason::NoTarget, "the side process does not answer");
            return Ok(Step::Again(refusal, FailureKind::Unreachable));
        };
        let Some(target) = document.inventory.target_named(&located.place.side) else {
            self.release(reservation);
            self.lose(located.place);
            let refusal = Refusal::not_run(Reason::NoTarget, "the target left");
            return Ok(Step::Again(refusal, FailureKind::Declined));
        };
        let sent = self.sent(target, located, reservation);
        let ended = self.send(target, &sent, turn, answer);
        self.settle(sent, ended, turn, answer)
    }

    /// Waits for a turn, and finds or claims the place for it; no place if it does not answer.
    fn locate(
        &mut self,
        attempt: u32,
        turn: &mut ScheduledRequest,
    ) -> Result<(Arc<Document>, Option<RunLocation>), Refusal> {
        let placed = turn.wait(&self.pipeline.shutdown)?;
        let document = self.pipeline.config.document();
        let target = document.inventory.target_named(&placed.target);
        let Some(place) = target.and_then(|t| self.pipeline.incarnations.place_of(t)) else {
            return Ok((document, None));
        };
        let locator = &self.pipeline.locator;
        if self.asked.idempotency_key.is_none() {
            return Ok((document, Some(RunLocation::new(place, attempt))));
        }
        let (run, gone) = (&self.run, self.gone.as_ref());
        let claim = locator.new_claim_op();
        let located = if self.asked.idempotent {
            locator.claim_at_homes(&document, run, &place, gone, &claim)
        } else {
            let located = locator.claim_in_store(&document, run, &place, &claim)?;
            // The claim decides; the homes only hear of it, for those who look later.
            locator.claim_at_homes(&document, run, &located.place, gone, &claim);
            located
        };
        self.claim = Some(claim);
        Ok((document, Some(located)))
    }

    fn sent(
        &self,
        target: &Target,
        located: RunLocation,
        reservation: Option<Reservation>,
    ) -> Sent {
        let dispatch =
            self.pipeline
                .dispatch(self.asked, &self.run, &located, reservation.as_ref());
        Sent {
            reservation,
            dispatch,
            control: target.side_control,
            located,
        }
    }

    fn send(
        &self,
        target: &Target,
        sent: &Sent,
        turn: &mut ScheduledRequest,
        answer: &mut AnswerWriter,
    ) -> AttemptOutcome {
        let order = AttemptMode::Run(&sent.dispatch);
        let (metrics, caller) = (&self.pipeline.metrics, &self.pipeline.rpc);
        Attempt::new(target, order, metrics, caller).execute(answer, Some(turn))
    }

    fn settle(
        &mut self,
        sent: Sent,
        ended: AttemptOutcome,
        turn: &mut ScheduledRequest,
        answer: &mut AnswerWriter,
    ) -> Result<Step, Refusal> {
        match ended {
            AttemptOutcome::Answered(bill) => {
                turn.record_finish(u32::try_from(bill.output_tokens).unwrap_or(u32::MAX));
                self.settle_bill(sent, &bill);
                Ok(Step::Done)
            }
            AttemptOutcome::CallerDisconnected(bill) => {
                // It may be asked for again after this run has been forgotten.
                let mut sent = sent;
                sent.located.is_provisional |= self.asked.idempotency_key.is_some();
                self.settle_bill(sent, &bill);
                Ok(Step::Done)
            }
            AttemptOutcome::NotRun(refusal, _) if refusal.reason == Reason::KeyReused => {
                self.release(sent.reservation);
                Err(refusal)
            }
            AttemptOutcome::NotRun(refusal, reason) => {
                self.pipeline.incarnations.forget(&sent.located.place);
                self.gone = Some(sent.located.place);
                self.release(sent.reservation);
                self.release_once();
                if refusal.reason == Reason::MoneyFenced {
                    let _ = self.pipeline.money.apply_fences();
                }
                self.count(reason);
                Ok(Step::Again(refusal, kind_of(reason)))
            }
            AttemptOutcome::Failed(bill) => {
                self.may_have_run = true;
                self.settle_bill(sent, &bill);
                let message = "the target failed before the answer was whole";
                let refusal = Refusal::not_run(Reason::TargetFailed, message);
                self.again(
                    refusal,
                    FailureKind::TargetError,
                    RetryReason::TargetFailed,
                    answer,
                )
            }
            AttemptOutcome::NoSuchRun => {
                let refusal = Refusal::outcome_unknown("the side process was replaced");
                self.settle_unknown(sent, None);
                self.again_if_keyed(refusal, answer)
            }
            AttemptOutcome::Unknown(refusal, bill) => {
                self.settle_unknown(sent, bill);
                self.again_if_keyed(refusal, answer)
            }
        }
    }

    fn settle_bill(&self, sent: Sent, bill: &RunBill) {
        let Some(reservation) = sent.reservation else {
            return;
        };
        // A run that failed costs nothing, and must not take the claim from one that answers.
        let is_ours = bill.amount > 0 && bill.is_paid_by(reservation.payment());
        let needs_claim = sent.located.is_provisional && is_ours;
        if !needs_claim {
            return self.pipeline.money.settle(reservation, bill);
        }
        self.pipeline.unsettled.add(UnsettledReservation {
            reservation,
            side: sent.located.place.side.clone(),
            control: sent.control,
            run: self.run.clone(),
            awaited: AwaitedEvent::Confirmation {
                bill: Box::new(bill.clone()),
                place: sent.located.place,
                gone: self.gone.clone(),
            },
        });
    }

    fn release(&self, reservation: Option<Reservation>) {
        if let Some(reservation) = reservation {
            self.pipeline.money.release(reservation);
        }
    }

    /// Takes the claim in the service back of an attempt that did not run and will not: the next
    /// one, here or at another router, is free to claim.
    fn release_once(&self) {
        let claim = self.claim.as_ref().filter(|_| !self.asked.idempotent);
        if let Some(claim) = claim {
            self.pipeline.locator.release_in_store(&self.run, claim);
        }
    }

    /// Settles a run whose answer is lost, at once or when its side process can be asked.
    fn settle_unknown(&mut self, sent: Sent, bill: Option<RunBill>) {
        self.lose(sent.located.place.clone());
        if let Some(bill) = bill {
            return self.settle_bill(sent, &bill);
        }
        let Some(reservation) = sent.reservation else {
            return;
        };
        self.pipeline.unsettled.add(UnsettledReservation {
            reservation,
            side: sent.located.place.side.clone(),
            control: sent.control,
            run: self.run.clone(),
            awaited: AwaitedEvent::Bill {
                attempt: sent.located.attempt,
                incarnation: sent.located.place.incarnation,
            },
        });
    }

    /// Allows another attempt of a run that was lost sight of, if it has a key: without one its two
    /// bills could not be told apart.
    fn again_if_keyed(&self, refusal: Refusal, answer: &mut AnswerWriter) -> Result<Step, Refusal> {
        if self.asked.idempotency_key.is_none() {
            return Err(refusal);
        }
        self.again(
            refusal,
            FailureKind::ConnectionLost,
            RetryReason::Broken,
            answer,
        )
    }

    /// Allows another attempt of what may have run, if it is idempotent and the caller has no part.
    fn again(
        &self,
        refusal: Refusal,
        kind: FailureKind,
        reason: RetryReason,
        answer: &mut AnswerWriter,
    ) -> Result<Step, Refusal> {
        if !self.asked.idempotent || answer.has_started() {
            return Err(refusal);
        }
        answer.discard_text();
        self.count(reason);
        Ok(Step::Again(refusal, kind))
    }

    fn count(&self, reason: RetryReason) {
        log::info!(target: "router", "Attempt failed. run={} reason={reason}", self.run);
        self.pipeline.metrics.count_retry(reason);
    }
}

/// Returns what the scheduler is told of an attempt that did not run.
fn kind_of(reason: RetryReason) -> FailureKind {
    match reason {
        RetryReason::NotSent => FailureKind::Unreachable,
        RetryReason::Refused
        | RetryReason::Silent
        | RetryReason::Broken
        | RetryReason::TargetFailed => FailureKind::Declined,
    }
}
