//! Execution of one request: follows an existing run, or reserves money, makes attempts at targets
//! and settles the bill.

use std::net::SocketAddr;

use wisteriapass_config::{Document, Target};
use wisteriapass_coord::budget::Reservation;
use wisteriapass_coord::once::{ClaimOpId, Place, RunId};
use wisteriapass_policy::FailureKind;

use crate::api::Ran;
use crate::metrics::RetryReason;
use crate::prelude::*;
use crate::router::answer::AnswerWriter;
use crate::router::attempt::{AttemptMode, AttemptOutcome, RunAttempt};
use crate::router::checked_request::CheckedRequest;
use crate::router::pipeline::Pipeline;
use crate::router::run_locator::{DispatchLocation, Lookup};
use crate::router::scheduled_request::ScheduledRequest;
use crate::router::unsettled::{AwaitedEvent, UnsettledReservation};
use crate::run_wire::{Dispatch, RunBill};

/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: u32 = 3;

/// A request being executed.
pub struct RequestExecution<'a> {
    pipeline: &'a Pipeline,
    request: &'a CheckedRequest,
    run: RunId,
    /// Whether an attempt of this or another router may have run.
    may_have_run: bool,
    /// Operation of its claim at the homes and, unless the request is idempotent, in the store.
    claim: Option<ClaimOpId>,
    /// A place where it may have run, and which is gone or unreachable.
    lost_place: Option<Place>,
}

/// Result of an attempt.
enum AttemptResult {
    /// The request is finished.
    Done,
    /// Another attempt may follow; the refusal is the answer if none does.
    MayRetry(Refusal, FailureKind),
}

/// A dispatch and the money reserved for it.
struct PaidDispatch {
    reservation: Option<Reservation>,
    dispatch: Dispatch,
    control: SocketAddr,
    location: DispatchLocation,
}

impl<'a> RequestExecution<'a> {
    /// Creates the execution of a request that was not attempted yet.
    pub fn new(pipeline: &'a Pipeline, request: &'a CheckedRequest, run: &str) -> Self {
        Self {
            pipeline,
            request,
            run: RunId::from_text(run),
            may_have_run: false,
            claim: None,
            lost_place: None,
        }
    }

    /// Executes the request up to the end of its answer.
    ///
    /// # Errors
    ///
    /// The [`Refusal`] with which the request ends.
    pub fn run_to_answer(mut self, answer: &mut AnswerWriter) -> Result<(), Refusal> {
        let outcome = self.follow_or_attempt(answer);
        outcome.map_err(|refusal| self.with_true_outcome(refusal))
    }

    /// Sets the outcome of a refusal to unknown if an attempt of this or another router may have
    /// run.
    fn with_true_outcome(&self, refusal: Refusal) -> Refusal {
        if refusal.reason == Reason::KeyReused || refusal.ran == Ran::OutcomeUnknown {
            return refusal;
        }
        if self.may_have_run {
            return refusal.with_unknown_outcome();
        }
        if let Some(claim) = &self.claim {
            // A repeat that found the claim could not know that nothing ran under it.
            let document = self.pipeline.config.document();
            self.pipeline
                .locator
                .release_at_homes(&document, &self.run, claim);
            return refusal;
        }
        self.pipeline.refusal_without_attempt(self.request, refusal)
    }

    fn follow_or_attempt(&mut self, answer: &mut AnswerWriter) -> Result<(), Refusal> {
        // Comes before any check that may refuse the request: a repeat of a request that runs
        // elsewhere must not be refused as "not run".
        if self.request.idempotency_key.is_some() && self.follow_existing_run(answer)? {
            return Ok(());
        }
        self.run_attempts(answer)
    }

    /// Follows an existing run of the request, if any; returns whether its answer was sent.
    fn follow_existing_run(&mut self, answer: &mut AnswerWriter) -> Result<bool, Refusal> {
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
            self.record_lost_place(place);
            return Ok(false);
        };
        let mode = AttemptMode::Follow {
            run: self.run.as_str(),
            fingerprint: &self.request.fingerprint,
        };
        let (metrics, rpc) = (&self.pipeline.metrics, &self.pipeline.rpc);
        match RunAttempt::new(target, mode, metrics, rpc).execute(answer, None) {
            AttemptOutcome::Answered(bill) | AttemptOutcome::CallerDisconnected(bill) => {
                // The router that dispatched it may have died without recording the bill.
                self.pipeline.money.add_foreign_bill(&bill);
                Ok(true)
            }
            AttemptOutcome::NoSuchRun => {
                // The run was claimed but has not arrived yet, or that incarnation has ended.
                if !self.pipeline.incarnations.is_current(target, &place) {
                    self.record_lost_place(place);
                }
                Ok(false)
            }
            AttemptOutcome::NotRun(refusal, _) if refusal.reason == Reason::KeyReused => {
                Err(refusal)
            }
            AttemptOutcome::NotRun(..) => {
                self.record_lost_place(place);
                Ok(false)
            }
            AttemptOutcome::Failed(_) => {
                let message = "the target failed before the answer was complete";
                self.allow_retry_after_loss(Refusal::not_run(Reason::TargetFailed, message), answer)
            }
            AttemptOutcome::Unknown(refusal, _) => {
                self.record_lost_place(place);
                self.allow_retry_after_loss(refusal, answer)
            }
        }
    }

    /// Records a place where the request may have run, and which is gone or unreachable.
    fn record_lost_place(&mut self, place: Place) {
        self.may_have_run = true;
        self.pipeline.incarnations.forget(&place);
        self.lost_place = Some(place);
    }

    /// Allows an attempt after a run whose answer was lost, if the request is idempotent.
    fn allow_retry_after_loss(
        &mut self,
        refusal: Refusal,
        answer: &mut AnswerWriter,
    ) -> Result<bool, Refusal> {
        self.may_have_run = true;
        if !self.request.idempotent || answer.has_started() {
            return Err(refusal);
        }
        answer.discard_text();
        Ok(false)
    }

    fn run_attempts(&mut self, answer: &mut AnswerWriter) -> Result<(), Refusal> {
        let mut scheduled = self.pipeline.schedule(self.request)?;
        let mut last_refusal = None;
        for attempt in 1..=MAX_ATTEMPTS {
            match self.attempt(attempt, &mut scheduled, answer) {
                Ok(AttemptResult::Done) => return Ok(()),
                Ok(AttemptResult::MayRetry(refusal, kind)) => {
                    // The scheduler gave up because part of the answer had arrived; it was not
                    // forwarded to the caller, so the request may be submitted anew.
                    if scheduled.record_failure(kind) {
                        scheduled = self.pipeline.schedule(self.request)?;
                    }
                    last_refusal = Some(refusal);
                }
                // The refusal of an earlier attempt tells more than why no further one is made.
                Err(refusal) => return Err(last_refusal.unwrap_or(refusal)),
            }
        }
        Err(last_refusal
            .unwrap_or_else(|| Refusal::not_run(Reason::NoTarget, "no target answered")))
    }

    fn attempt(
        &mut self,
        attempt: u32,
        scheduled: &mut ScheduledRequest,
        answer: &mut AnswerWriter,
    ) -> Result<AttemptResult, Refusal> {
        let reservation = self.pipeline.reserve(self.request)?;
        let location = self.locate_run(attempt, scheduled);
        let (document, location) = match location {
            Ok(found) => found,
            Err(refusal) => {
                self.release(reservation);
                return Err(refusal);
            }
        };
        let Some(location) = location else {
            self.release(reservation);
            let refusal = Refusal::not_run(Reason::NoTarget, "the side process does not answer");
            return Ok(AttemptResult::MayRetry(refusal, FailureKind::Unreachable));
        };
        let Some(target) = document.inventory.target_named(&location.place.side) else {
            self.release(reservation);
            self.record_lost_place(location.place);
            let refusal = Refusal::not_run(
                Reason::NoTarget,
                "the target was removed from the configuration",
            );
            return Ok(AttemptResult::MayRetry(refusal, FailureKind::Declined));
        };
        let paid = self.prepare(target, location, reservation);
        let outcome = self.send(target, &paid, scheduled, answer);
        self.settle_attempt(paid, outcome, scheduled, answer)
    }

    /// Waits for a target, and finds the run or claims it there; none if the side process does not
    /// answer.
    fn locate_run(
        &mut self,
        attempt: u32,
        scheduled: &mut ScheduledRequest,
    ) -> Result<(Arc<Document>, Option<DispatchLocation>), Refusal> {
        let assignment = scheduled.wait(&self.pipeline.shutdown)?;
        let document = self.pipeline.config.document();
        let target = document.inventory.target_named(&assignment.target);
        let Some(place) = target.and_then(|t| self.pipeline.incarnations.place_of(t)) else {
            return Ok((document, None));
        };
        let locator = &self.pipeline.locator;
        if self.request.idempotency_key.is_none() {
            return Ok((document, Some(DispatchLocation::new(place, attempt))));
        }
        let (run, lost_place) = (&self.run, self.lost_place.as_ref());
        let claim = locator.new_claim_op();
        let location = if self.request.idempotent {
            locator.claim_at_homes(&document, run, &place, lost_place, &claim)
        } else {
            let location = locator.claim_in_store(&document, run, &place, &claim)?;
            // The claim in the store decides; the homes are informed so that later lookups find the
            // run.
            locator.claim_at_homes(&document, run, &location.place, lost_place, &claim);
            location
        };
        self.claim = Some(claim);
        Ok((document, Some(location)))
    }

    fn prepare(
        &self,
        target: &Target,
        location: DispatchLocation,
        reservation: Option<Reservation>,
    ) -> PaidDispatch {
        let dispatch =
            self.pipeline
                .dispatch(self.request, &self.run, &location, reservation.as_ref());
        PaidDispatch {
            reservation,
            dispatch,
            control: target.side_control,
            location,
        }
    }

    fn send(
        &self,
        target: &Target,
        paid: &PaidDispatch,
        scheduled: &mut ScheduledRequest,
        answer: &mut AnswerWriter,
    ) -> AttemptOutcome {
        let mode = AttemptMode::Run(&paid.dispatch);
        let (metrics, rpc) = (&self.pipeline.metrics, &self.pipeline.rpc);
        RunAttempt::new(target, mode, metrics, rpc).execute(answer, Some(scheduled))
    }

    fn settle_attempt(
        &mut self,
        paid: PaidDispatch,
        outcome: AttemptOutcome,
        scheduled: &mut ScheduledRequest,
        answer: &mut AnswerWriter,
    ) -> Result<AttemptResult, Refusal> {
        match outcome {
            AttemptOutcome::Answered(bill) => {
                scheduled.record_finish(u32::try_from(bill.output_tokens).unwrap_or(u32::MAX));
                self.settle_bill(paid, &bill);
                Ok(AttemptResult::Done)
            }
            AttemptOutcome::CallerDisconnected(bill) => {
                // The caller may repeat it after the side process has dropped this run.
                let mut paid = paid;
                paid.location.is_provisional |= self.request.idempotency_key.is_some();
                self.settle_bill(paid, &bill);
                Ok(AttemptResult::Done)
            }
            AttemptOutcome::NotRun(refusal, _) if refusal.reason == Reason::KeyReused => {
                self.release(paid.reservation);
                Err(refusal)
            }
            AttemptOutcome::NotRun(refusal, reason) => {
                self.pipeline.incarnations.forget(&paid.location.place);
                self.lost_place = Some(paid.location.place);
                self.release(paid.reservation);
                self.release_store_claim();
                if refusal.reason == Reason::MoneyFenced {
                    let _ = self.pipeline.money.apply_fences();
                }
                self.count_failure(reason);
                Ok(AttemptResult::MayRetry(refusal, failure_kind(reason)))
            }
            AttemptOutcome::Failed(bill) => {
                self.may_have_run = true;
                self.settle_bill(paid, &bill);
                let message = "the target failed before the answer was complete";
                let refusal = Refusal::not_run(Reason::TargetFailed, message);
                self.allow_retry(
                    refusal,
                    FailureKind::TargetError,
                    RetryReason::TargetFailed,
                    answer,
                )
            }
            AttemptOutcome::NoSuchRun => {
                let refusal = Refusal::outcome_unknown("the side process was replaced");
                self.settle_unknown(paid, None);
                self.allow_retry_if_keyed(refusal, answer)
            }
            AttemptOutcome::Unknown(refusal, bill) => {
                self.settle_unknown(paid, bill);
                self.allow_retry_if_keyed(refusal, answer)
            }
        }
    }

    fn settle_bill(&self, paid: PaidDispatch, bill: &RunBill) {
        let Some(reservation) = paid.reservation else {
            return;
        };
        // A failed run is free, and must not take the claim away from a run that answers.
        let is_paid_here = bill.amount > 0 && bill.is_paid_by(reservation.payment());
        let needs_claim = paid.location.is_provisional && is_paid_here;
        if !needs_claim {
            return self.pipeline.money.settle(reservation, bill);
        }
        self.pipeline.unsettled.add(UnsettledReservation {
            reservation,
            side: paid.location.place.side.clone(),
            control: paid.control,
            run: self.run.clone(),
            awaited: AwaitedEvent::Confirmation {
                bill: Box::new(bill.clone()),
                place: paid.location.place,
                lost_place: self.lost_place.clone(),
            },
        });
    }

    fn release(&self, reservation: Option<Reservation>) {
        if let Some(reservation) = reservation {
            self.pipeline.money.release(reservation);
        }
    }

    /// Releases the claim in the store after an attempt that did not run and will not run, so that
    /// the next attempt of this or another router can claim.
    fn release_store_claim(&self) {
        let claim = self.claim.as_ref().filter(|_| !self.request.idempotent);
        if let Some(claim) = claim {
            self.pipeline.locator.release_in_store(&self.run, claim);
        }
    }

    /// Settles a run whose answer was lost, now or once its side process can be queried.
    fn settle_unknown(&mut self, paid: PaidDispatch, bill: Option<RunBill>) {
        self.record_lost_place(paid.location.place.clone());
        if let Some(bill) = bill {
            return self.settle_bill(paid, &bill);
        }
        let Some(reservation) = paid.reservation else {
            return;
        };
        self.pipeline.unsettled.add(UnsettledReservation {
            reservation,
            side: paid.location.place.side.clone(),
            control: paid.control,
            run: self.run.clone(),
            awaited: AwaitedEvent::Bill {
                attempt: paid.location.attempt,
                incarnation: paid.location.place.incarnation,
            },
        });
    }

    /// Allows another attempt after the connection to a run was lost, if the request has a key:
    /// without one, the bills of the two runs could not be told apart.
    fn allow_retry_if_keyed(
        &self,
        refusal: Refusal,
        answer: &mut AnswerWriter,
    ) -> Result<AttemptResult, Refusal> {
        if self.request.idempotency_key.is_none() {
            return Err(refusal);
        }
        self.allow_retry(
            refusal,
            FailureKind::ConnectionLost,
            RetryReason::Broken,
            answer,
        )
    }

    /// Allows another attempt of a request that may have run, if it is idempotent and the caller
    /// has received no part of the answer.
    fn allow_retry(
        &self,
        refusal: Refusal,
        kind: FailureKind,
        reason: RetryReason,
        answer: &mut AnswerWriter,
    ) -> Result<AttemptResult, Refusal> {
        if !self.request.idempotent || answer.has_started() {
            return Err(refusal);
        }
        answer.discard_text();
        self.count_failure(reason);
        Ok(AttemptResult::MayRetry(refusal, kind))
    }

    fn count_failure(&self, reason: RetryReason) {
        log::info!(target: "router", "Attempt failed. run={} reason={reason}", self.run);
        self.pipeline.metrics.count_retry(reason);
    }
}

/// Returns the failure that is reported to the scheduler for an attempt that did not run.
fn failure_kind(reason: RetryReason) -> FailureKind {
    match reason {
        RetryReason::NotSent => FailureKind::Unreachable,
        RetryReason::Refused
        | RetryReason::Silent
        | RetryReason::Broken
        | RetryReason::TargetFailed => FailureKind::Declined,
    }
}
