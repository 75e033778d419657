//! Sending a request to targets until one answers or no more may be asked.

use std::cell::OnceCell;

use http_body_util::BodyExt;
use hyper::Response;
use wisteriapass_coord::quarantine::Fingerprint;
use wisteriapass_policy::{LatencyHistory, Time};

use super::fault::Fault;
use super::history::Tries;
use super::plan::Plan;
use super::quarantine_check::Noted;
use super::reply::{self, AnswerBody};
use super::selection::Place;
use crate::dispatch::{Answer, Outgoing, Sent, is_break, send};
use crate::gateway::Overdue;
use crate::metrics::RetryReason;
use crate::prelude::*;
use crate::reservation::Reservation;
use crate::stream::Forwarding;
use crate::target::TargetKey;

/// Targets that may be tried without reaching any of them: beyond that the caller is told.
const MOST_UNSENT: usize = 4;

/// Patience with an idempotent request before it is sent elsewhere, as a multiple of the time in
/// which its answer is on time: half of what then is late may still be saved.
const PATIENCE_TIMES: f64 = 1.5;

/// A request with all that it takes to send it, also again.
#[derive(Debug)]
pub struct Job {
    /// The router.
    pub gw: Rc<Gateway>,
    /// What is sent.
    pub out: Outgoing,
    /// What the caller says.
    pub facts: RequestMetadata,
    /// What was decided.
    pub plan: Plan,
    /// What makes it the same as another, once it is asked for.
    pub(super) fingerprint: OnceCell<Fingerprint>,
}

impl Job {
    /// Creates one that was not sent yet.
    pub fn new(gw: Rc<Gateway>, out: Outgoing, facts: RequestMetadata, plan: Plan) -> Self {
        Self {
            gw,
            out,
            facts,
            plan,
            fingerprint: OnceCell::new(),
        }
    }

    /// Runs the request; the reservation is settled when the answer is whole or given up.
    pub async fn run(
        self,
        mut reservation: Option<Reservation>,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let mut tries = Tries::default();
        loop {
            let answer = self.next_answer(&mut tries, &mut reservation, None).await?;
            if answer.facts.is_event_stream && answer.status.is_success() {
                return Forwarding::start(self, answer, tries, reservation).await;
            }
            if let Some(response) = self.finish(answer, &mut tries, &mut reservation).await? {
                return Ok(response);
            }
        }
    }

    /// Returns the head of a right answer.
    pub async fn next_answer(
        &self,
        tries: &mut Tries,
        reservation: &mut Option<Reservation>,
        last_event: Option<u64>,
    ) -> Result<Answer, Refusal> {
        loop {
            if Instant::now() >= self.plan.deadline {
                return Err(tries.late());
            }
            self.admit(tries)?;
            let place = self.place(tries)?;
            let key = place.key;
            tries.tried.push(key);
            tries.sending = Some(self.sending(key));
            if let Some(r) = reservation {
                r.mark_sent();
            }
            match self.send_to(place, tries, last_event).await {
                Sent::Answer(answer) => match self.judge(key, answer) {
                    Verdict::Right(answer) => {
                        tries.sent += 1;
                        tries.may_have_run = true;
                        return Ok(*answer);
                    }
                    Verdict::NotRun => {
                        tries.sent += 1;
                        self.note_not_run(tries, reservation);
                        self.again(tries, reservation, RetryReason::NotRun).await?;
                    }
                    Verdict::Wrong => self.lost(key, None, tries, reservation).await?,
                },
                Sent::Unsent => {
                    self.fault(key, Fault::NotSent);
                    self.note_not_run(tries, reservation);
                    tries.unsent += 1;
                    if tries.unsent >= MOST_UNSENT {
                        return Err(self.unplaced(tries));
                    }
                    self.gw.metrics.retried(RetryReason::NotSent);
                }
                Sent::Lost => self.lost(key, None, tries, reservation).await?,
                Sent::CutShort => return Err(Refusal::CutShort),
                Sent::Broken => {
                    let noted = Some(self.note_break(key));
                    self.lost(key, noted, tries, reservation).await?;
                }
                Sent::Withheld => self.note_not_run(tries, reservation),
            }
        }
    }

    /// Sends to one target, within the time that it is given.
    async fn send_to(&self, place: Place, tries: &Tries, last_event: Option<u64>) -> Sent {
        let Some(headers) = self.headers_for(place.key, last_event) else {
            return Sent::Unsent;
        };
        let may_go = || self.banned_for_ms().is_none() && self.gw.may_go(place.key, self.plan.cold);
        let sending = send(
            &self.gw,
            place.key,
            &self.out,
            headers,
            place.unread,
            may_go,
        );
        match self.gw.wait(self.patience(tries), sending).await {
            Ok(sent) => sent,
            Err(Overdue::Deadline) => {
                self.learn_begin(tries);
                Sent::Lost
            }
            Err(Overdue::Stopping) => Sent::CutShort,
        }
    }

    /// Learns how long the last target took to begin the answer, or has not begun it for.
    pub fn learn_begin(&self, tries: &Tries) {
        let Some(sending) = tries.sending else {
            return;
        };
        let ms = sending.at.elapsed().as_millis() as u64;
        let running = sending.running;
        let learn = |times: &mut LatencyHistory, now| times.record_response_start(now, ms, running);
        self.gw.learn(&self.plan.service, sending.key, learn);
    }

    fn headers_for(&self, key: TargetKey, last_event: Option<u64>) -> Option<HeaderMap> {
        let targets = self.gw.targets.borrow();
        let target = targets.get(key)?;
        let facts = DispatchMetadata {
            remaining_ms: self.plan.remaining_ms(&self.gw),
            target: &target.entry.id,
            account: self.plan.account_name(),
            priority: self.priority(),
            last_event,
        };
        Some(self.gw.platform.dispatch_headers(&self.out.headers, &facts))
    }

    /// Returns until when a target may keep its answer to itself.
    fn patience(&self, tries: &Tries) -> Instant {
        let route = &self.plan.route;
        let is_last = tries.sent + 1 >= route.max_attempts;
        let is_last = is_last || !self.ends_in_time_elsewhere(tries);
        if route.kind != RequestKind::Idempotent || is_last {
            return self.plan.deadline;
        }
        let patience = Duration::from_millis(route.target_latency_ms).mul_f64(PATIENCE_TIMES);
        self.plan.deadline.min(Instant::now() + patience)
    }

    /// Decides whether an answer is one to this request.
    fn judge(&self, key: TargetKey, answer: Box<Answer>) -> Verdict {
        let facts = &answer.facts;
        let echoed = facts.id == self.facts.id;
        let unnamed = facts.id.is_none() && answer.line.is_fresh;
        if facts.not_run && (echoed || unnamed) {
            if answer.status == StatusCode::MISDIRECTED_REQUEST {
                self.gw.targets.borrow_mut().replaced(key);
            }
            self.fault(key, Fault::Shed);
            return Verdict::NotRun;
        }
        if !echoed || facts.is_encoded || answer.status.is_success() && !facts.is_signed {
            self.fault(key, Fault::Wrong);
            return Verdict::Wrong;
        }
        Verdict::Right(answer)
    }

    /// Reads a whole answer; `None` if it is wrong and the request goes to another target.
    async fn finish(
        &self,
        answer: Answer,
        tries: &mut Tries,
        reservation: &mut Option<Reservation>,
    ) -> Result<Option<Response<AnswerBody>>, Refusal> {
        let Answer {
            status,
            headers,
            facts,
            body,
            line,
        } = answer;
        let key = tries.tried.last().copied().unwrap_or_default();
        let body = match self.gw.wait(self.plan.deadline, body.collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) => {
                let noted = is_break(&e).then(|| self.note_break(key));
                self.lost(key, noted, tries, reservation).await?;
                return Ok(None);
            }
            Err(Overdue::Deadline) => return Err(tries.late()),
            Err(Overdue::Stopping) => return Err(Refusal::CutShort),
        };
        line.finish(&facts);
        self.note_whole(status, &facts);
        if status.is_server_error() {
            self.fault(key, Fault::Failed);
            let repeatable = self.plan.route.kind.repeatable();
            let again = RetryReason::Failed;
            if repeatable && self.again(tries, reservation, again).await.is_ok() {
                return Ok(None);
            }
        } else {
            self.ease(key);
        }
        if let Some(r) = reservation {
            r.mark_complete();
        }
        self.learn_begin(tries);
        let took = self.plan.arrived.elapsed();
        self.gw.metrics.answered(self.plan.route.kind, took);
        Ok(Some(reply::whole(status, headers, body)))
    }

    /// Notes an answer that was lost or wrong; goes on if the request may run again.
    async fn lost(
        &self,
        key: TargetKey,
        noted: Option<Noted>,
        tries: &mut Tries,
        reservation: &mut Option<Reservation>,
    ) -> Result<(), Refusal> {
        tries.sent += 1;
        tries.may_have_run = true;
        self.fault(key, Fault::Lost);
        if Instant::now() >= self.plan.deadline {
            return Err(Refusal::Late);
        }
        if !self.plan.route.kind.repeatable() {
            return Err(Refusal::OutcomeUnknown);
        }
        self.await_note(noted).await;
        self.admit(tries)?;
        self.again(tries, reservation, RetryReason::Lost).await
    }

    /// Takes a repeat, if one is left.
    pub async fn again(
        &self,
        tries: &Tries,
        reservation: &mut Option<Reservation>,
        reason: RetryReason,
    ) -> Result<(), Refusal> {
        if !self.ends_in_time_elsewhere(tries) {
            return Err(tries.stopping());
        }
        if tries.sent >= self.plan.route.max_attempts || !self.gw.take_retry(&self.plan.service) {
            return Err(tries.given_up());
        }
        if let Some(r) = reservation.as_mut().filter(|_| tries.may_have_run)
            && !r.reserve_rerun().await
        {
            return Err(tries.given_up());
        }
        self.gw.metrics.retried(reason);
        log::info!(
            target: "exchange",
            "Sent again. request={} reason={reason} sent={}",
            self.facts.id_text(),
            tries.sent
        );
        Ok(())
    }

    fn note_not_run(&self, tries: &Tries, reservation: &mut Option<Reservation>) {
        if tries.may_have_run {
            return;
        }
        if let Some(r) = reservation {
            r.mark_not_run();
        }
    }

    /// Counts a failure of a target.
    pub fn fault(&self, key: TargetKey, fault: Fault) {
        let now = Time::from_millis(self.gw.clock.now_ms());
        let targets = self.gw.targets.borrow();
        let Some(target) = targets.get(key) else {
            return;
        };
        target
            .trouble
            .borrow_mut()
            .record_failure(now, fault.weight());
        if fault == Fault::NotSent {
            target.suspect_restart(Instant::now());
        }
        log::info!(
            target: "exchange",
            "Target failed it. request={} target={} fault={fault} running={} after_ms={} route={} \
             fingerprint={}",
            self.facts.id_text(),
            target.entry.id,
            target.running.get(),
            self.plan.arrived.elapsed().as_millis(),
            self.plan.route.name,
            self.fingerprint()
        );
    }

    /// Counts a success of a target.
    pub fn ease(&self, key: TargetKey) {
        let now = Time::from_millis(self.gw.clock.now_ms());
        let targets = self.gw.targets.borrow();
        if let Some(target) = targets.get(key) {
            target.trouble.borrow_mut().record_success(now);
        }
    }
}

/// What an answer's head says.
enum Verdict {
    Right(Box<Answer>),
    NotRun,
    Wrong,
}
