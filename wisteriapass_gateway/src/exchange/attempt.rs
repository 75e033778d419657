//! Sending a request to targets until one answers or no further attempt is permitted.

use std::cell::OnceCell;

use hyper::Response;
use smallvec::SmallVec;
use wisteriapass_coord::quarantine::Fingerprint;
use wisteriapass_policy::target_speed::FirstEvent;
use wisteriapass_policy::{LatencyHistory, Time};

use super::body_end::EndPoint;
use super::completeness::Completeness;
use super::fault::Fault;
use super::held_trial::TrialSlot;
use super::history::AttemptHistory;
use super::plan::Plan;
use super::quarantine_check::BreakCheck;
use super::reply::{self, ResponseBody};
use super::selection::SelectedTarget;
use super::whole_body::read_whole_body;
use crate::dispatch::{OutgoingRequest, SendOutcome, TargetResponse, send_request};
use crate::gateway::WaitError;
use crate::held_memory::HeldMemory;
use crate::metrics::RetryReason;
use crate::prelude::*;
use crate::reservation::Reservation;
use crate::speeds::FirstEventSample;
use crate::stream::StreamForwarder;
use crate::target::TargetKey;

/// Number of unreachable targets after which the request is refused.
const MAX_UNSENT: usize = 4;

/// Time after which an idempotent request is sent to another target, as a multiple of the route's
/// target latency: half of the requests that are late by then can still be answered in time.
const RETRY_AFTER_LATENCY_FACTOR: f64 = 1.5;

/// A request with everything that is needed to send it, repeatedly if necessary.
#[derive(Debug)]
pub struct ProxiedRequest {
    pub gw: Rc<Gateway>,
    /// Request as sent to targets.
    pub outgoing: OutgoingRequest,
    /// Metadata from the client's headers.
    pub metadata: RequestMetadata,
    /// Routing decision.
    pub plan: Plan,
    /// Fingerprints for the quarantine, computed on first use.
    pub(super) fingerprints: OnceCell<SmallVec<[Fingerprint; 4]>>,
    /// The trials that permit to send it, if it needs any.
    pub(super) trials: Rc<TrialSlot>,
    /// Whether the current run shows that no part of the prompt crashes its target.
    pub(super) has_answer: Cell<bool>,
    /// Memory for its state.
    _memory: Option<HeldMemory>,
}

impl ProxiedRequest {
    /// Creates a request that has not been sent.
    pub fn new(
        gw: Rc<Gateway>,
        outgoing: OutgoingRequest,
        metadata: RequestMetadata,
        plan: Plan,
    ) -> Self {
        Self {
            gw,
            outgoing,
            metadata,
            plan,
            fingerprints: OnceCell::new(),
            trials: Rc::default(),
            has_answer: Cell::new(false),
            _memory: None,
        }
    }

    /// Adds the memory that counts until the request has ended.
    pub fn with_memory(mut self, memory: HeldMemory) -> Self {
        self._memory = Some(memory);
        self
    }

    /// Runs the request; the reservation is settled when the response is complete or given up.
    pub async fn run(
        self,
        mut reservation: Option<Reservation>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let mut history = AttemptHistory::new(self.plan.origin.clone());
        loop {
            let answer = self.next_answer(&mut history, None).await?;
            if answer.metadata.is_event_stream && answer.status.is_success() {
                return StreamForwarder::start(self, answer, history, reservation).await;
            }
            if let Some(response) = self
                .complete(answer, &mut history, &mut reservation)
                .await?
            {
                return Ok(response);
            }
        }
    }

    /// Sends the request until a target returns a valid response head.
    pub async fn next_answer(
        &self,
        history: &mut AttemptHistory,
        last_event: Option<u64>,
    ) -> Result<TargetResponse, Refusal> {
        loop {
            if Instant::now() >= self.plan.deadline {
                return Err(history.deadline_refusal());
            }
            self.check_quarantine(history)?;
            self.begin_trials(history).await?;
            let selected = self.select_target(history)?;
            let key = selected.key;
            self.log_resumption(key, history, last_event);
            history.tried.push(key);
            history.last_send = Some(self.send_record(selected));
            self.has_answer.set(false);
            let outcome = self.send_to(selected, history, last_event).await;
            history.sent += u32::from(outcome.was_sent());
            match outcome {
                SendOutcome::Answer(answer) => match self.classify(key, answer) {
                    Verdict::Accepted(answer) => {
                        history.may_have_run = true;
                        return Ok(*answer);
                    }
                    Verdict::NotRun => self.prepare_retry(history, RetryReason::NotRun)?,
                    Verdict::Invalid => {
                        self.handle_lost_response(key, None, history).await?;
                    }
                },
                SendOutcome::NotSent => {
                    self.record_fault(key, Fault::NotSent);
                    history.unsent_count += 1;
                    if history.unsent_count >= MAX_UNSENT {
                        return Err(self.no_target_refusal(history));
                    }
                    self.gw.metrics.count_retry(RetryReason::NotSent);
                }
                SendOutcome::Lost => self.handle_lost_response(key, None, history).await?,
                SendOutcome::CutShort => return Err(Refusal::CutShort),
                SendOutcome::ConnectionBroken => {
                    let break_check = Some(self.check_break(key));
                    self.handle_lost_response(key, break_check, history).await?;
                }
                SendOutcome::Withheld => {}
            }
        }
    }

    /// Sends to one target, with a deadline for the response head.
    async fn send_to(
        &self,
        selected: SelectedTarget,
        history: &AttemptHistory,
        last_event: Option<u64>,
    ) -> SendOutcome {
        let Some(headers) = self.headers_for(selected.key, last_event) else {
            return SendOutcome::NotSent;
        };
        let may_send = || {
            !self.is_banned()
                && !self.needs_trial()
                && self.gw.may_send(selected.key, self.requirements(history))
        };
        let sending = send_request(
            &self.gw,
            selected.key,
            &self.outgoing,
            headers,
            selected.prefill_tokens,
            may_send,
        );
        match self
            .gw
            .run_until(self.response_deadline(history), sending)
            .await
        {
            Ok(sent) => sent,
            Err(WaitError::Deadline) => {
                self.record_response_time(history);
                self.record_speed(history, FirstEventSample::Missing);
                SendOutcome::Lost
            }
            Err(WaitError::Stopping) => SendOutcome::CutShort,
        }
    }

    /// Records how long the last target took to begin its response, or how long it has not done so.
    pub fn record_response_time(&self, history: &AttemptHistory) {
        let Some(last_send) = history.last_send else {
            return;
        };
        let ms = last_send.at.elapsed().as_millis() as u64;
        let running = last_send.running;
        let learn = |times: &mut LatencyHistory, now| times.record_response_start(now, ms, running);
        self.gw
            .record_latency(&self.plan.service, last_send.key, learn);
    }

    /// Records a sample of how slow the last target is, from the time to the beginning of its answer.
    pub fn record_speed(&self, history: &AttemptHistory, sample: FirstEventSample) {
        let Some(last_send) = history.last_send else {
            return;
        };
        let Some(tokens_ahead) = last_send.tokens_ahead else {
            return;
        };
        let event = FirstEvent {
            tokens_ahead,
            running: last_send.running.saturating_sub(1),
            ms: last_send.at.elapsed().as_secs_f64() * 1_000.0,
        };
        self.gw
            .record_first_event(&self.plan.service, last_send.key, event, sample);
    }

    fn headers_for(&self, key: TargetKey, last_event: Option<u64>) -> Option<HeaderMap> {
        let targets = self.gw.targets.borrow();
        let target = targets.get(key)?;
        let metadata = DispatchMetadata {
            remaining_ms: self.plan.remaining_ms(&self.gw),
            target: &target.entry.id,
            account: self.plan.account_name(),
            priority: self.priority(),
            last_event,
        };
        Some(
            self.gw
                .platform
                .dispatch_headers(&self.outgoing.headers, &metadata),
        )
    }

    /// Returns the deadline for the response head of the next target.
    fn response_deadline(&self, history: &AttemptHistory) -> Instant {
        let route = &self.plan.route;
        let is_last = history.sent + 1 >= route.max_attempts;
        let is_last = is_last || !self.ends_in_time_elsewhere(history);
        if route.kind != RequestKind::Idempotent || is_last {
            return self.plan.deadline;
        }
        let retry_delay =
            Duration::from_millis(route.latency_goal_ms).mul_f64(RETRY_AFTER_LATENCY_FACTOR);
        self.plan.deadline.min(Instant::now() + retry_delay)
    }

    /// Checks that a response belongs to this request and is valid, and records what the target
    /// states in it.
    fn classify(&self, key: TargetKey, answer: Box<TargetResponse>) -> Verdict {
        let metadata = &answer.metadata;
        let has_same_id = metadata.id == self.metadata.id;
        let lacks_id = metadata.id.is_none() && answer.connection.is_new;
        let is_refusal = metadata.not_run && (has_same_id || lacks_id);
        let is_answer = has_same_id
            && !metadata.is_encoded
            && (metadata.is_signed || !answer.status.is_success());
        let is_misdirected = answer.status == StatusCode::MISDIRECTED_REQUEST;
        // A misdirected request reached another target at the same address.
        let is_own = (is_refusal || is_answer) && !is_misdirected;
        self.gw
            .record_statements(key, answer.status, metadata, is_own);
        if is_refusal {
            if is_misdirected {
                self.gw.targets.borrow_mut().mark_replaced(key);
            }
            self.record_fault(key, Fault::Shed);
            return Verdict::NotRun;
        }
        if !is_answer {
            self.record_fault(key, Fault::WrongAnswer);
            return Verdict::Invalid;
        }
        Verdict::Accepted(answer)
    }

    /// Reads a complete response; returns `None` if it is invalid and the request is to be retried.
    async fn complete(
        &self,
        answer: TargetResponse,
        history: &mut AttemptHistory,
        reservation: &mut Option<Reservation>,
    ) -> Result<Option<Response<ResponseBody>>, Refusal> {
        let TargetResponse {
            status,
            headers,
            metadata,
            framing,
            body,
            mut connection,
        } = answer;
        let key = history.tried.last().copied().unwrap_or_default();
        let reading = read_whole_body(&self.gw, body, &mut connection);
        let body = match self.gw.run_until(self.plan.deadline, reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(e)) => {
                drop(connection);
                if let Some(overrun) = e.overrun() {
                    overrun.record(&self.gw, key);
                }
                let break_check = e.is_connection_error().then(|| self.check_break(key));
                self.handle_lost_response(key, break_check, history).await?;
                return Ok(None);
            }
            Err(WaitError::Deadline) => {
                self.record_fault(key, Fault::Lost);
                return Err(history.deadline_refusal());
            }
            Err(WaitError::Stopping) => return Err(Refusal::CutShort),
        };
        self.gw.record_bytes(body.len(), 0);
        let completeness = self.completeness(key, framing, EndPoint::Possible);
        match self.gw.run_until(self.plan.deadline, completeness).await {
            Ok(Completeness::Complete) => {}
            Ok(Completeness::Broken(break_check)) => {
                drop(connection);
                self.handle_lost_response(key, break_check, history).await?;
                return Ok(None);
            }
            Err(WaitError::Deadline) => return Err(history.deadline_refusal()),
            Err(WaitError::Stopping) => return Err(Refusal::CutShort),
        }
        self.record_complete_response(key, status, &metadata, framing, connection);
        let is_retryable = self.plan.route.kind.is_retryable();
        let reason = RetryReason::Failed;
        if status.is_server_error() && is_retryable && self.prepare_retry(history, reason).is_ok() {
            return Ok(None);
        }
        if let Some(r) = reservation {
            r.mark_complete();
        }
        self.record_response_time(history);
        if status.is_success() {
            self.record_speed(history, FirstEventSample::Arrived);
        }
        let took = self.plan.arrived.elapsed();
        self.gw.metrics.count_answer(self.plan.route.kind, took);
        Ok(Some(reply::full_response(status, headers, body)))
    }

    /// Handles a lost or invalid response; returns an error unless the request may be retried.
    async fn handle_lost_response(
        &self,
        key: TargetKey,
        break_check: Option<BreakCheck>,
        history: &mut AttemptHistory,
    ) -> Result<(), Refusal> {
        history.may_have_run = true;
        self.record_fault(key, Fault::Lost);
        if Instant::now() >= self.plan.deadline {
            return Err(Refusal::Late);
        }
        if !self.plan.route.kind.is_retryable() {
            return Err(Refusal::OutcomeUnknown);
        }
        self.await_break_check(break_check).await;
        self.check_quarantine(history)?;
        self.prepare_retry(history, RetryReason::Lost)
    }

    /// Checks that a retry is permitted and takes it from the retry budget.
    pub fn prepare_retry(
        &self,
        history: &AttemptHistory,
        reason: RetryReason,
    ) -> Result<(), Refusal> {
        if !self.ends_in_time_elsewhere(history) {
            return Err(history.stopping_refusal());
        }
        if history.sent >= self.plan.route.max_attempts || !self.gw.take_retry(&self.plan.service) {
            return Err(history.give_up_refusal());
        }
        self.gw.metrics.count_retry(reason);
        log::info!(
            target: "exchange",
            "Sent again. request={} reason={reason} sent={}",
            self.metadata.id_text(),
            history.sent
        );
        Ok(())
    }

    /// Records a failure of a target.
    pub fn record_fault(&self, key: TargetKey, fault: Fault) {
        let now = Time::from_millis(self.gw.clock.now_ms());
        let targets = self.gw.targets.borrow();
        let Some(target) = targets.get(key) else {
            return;
        };
        target
            .failures
            .borrow_mut()
            .record_failure(now, fault.weight());
        if fault == Fault::NotSent {
            target.suspect_restart(Instant::now());
        }
        log::info!(
            target: "exchange",
            "Target failed it. request={} target={} fault={fault} running={} after_ms={} route={} \
             fingerprint={} prompt_parts={}",
            self.metadata.id_text(),
            target.entry.id,
            target.running.get(),
            self.plan.arrived.elapsed().as_millis(),
            self.plan.route.name,
            self.fingerprint(),
            self.metadata.shared_parts_text()
        );
    }

    /// Records a success of a target.
    pub fn record_success(&self, key: TargetKey) {
        let now = Time::from_millis(self.gw.clock.now_ms());
        let targets = self.gw.targets.borrow();
        if let Some(target) = targets.get(key) {
            target.failures.borrow_mut().record_success(now);
        }
    }
}

/// Classification of a response head.
enum Verdict {
    Accepted(Box<TargetResponse>),
    NotRun,
    Invalid,
}
