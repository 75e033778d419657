//! Forwarding of event streams, and resuming them at another target when they break off.

use bytes::BytesMut;
use derive_more::{Display, Error};
use futures_util::stream::unfold;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Frame;
use wisteriapass_policy::LatencyHistory;
use wisteriapass_policy::memory_account::Purpose;
use wisteriapass_policy::target_speed::OutputPause;

use crate::dispatch::{TargetResponse, is_connection_error};
use crate::events::{Event, EventReader};
use crate::exchange::{
    AttemptHistory, BodyStream, BreakCheck, Completeness, EndPoint, Fault, ProxiedRequest,
    ResponseBody, streamed_response,
};
use crate::gateway::WaitError;
use crate::held_memory::HeldMemory;
use crate::metrics::RetryReason;
use crate::overrun::Overrun;
use crate::prelude::*;
use crate::reservation::Reservation;
use crate::speeds::{EventPauses, FirstEventSample};
use crate::target::TargetKey;

/// Output after which a running stream contributes a sample of its target's output rate, in tokens.
const RATE_SAMPLE_TOKENS: u64 = 40;

/// Time after the first event of a run from which further events show that it does not crash its
/// target, in milliseconds: one that crashes may send events in the last moment.
const PROOF_MS: u64 = 200;

/// Size of the waiting events of a stream that goes on while memory is short, in bytes: what comes
/// later is refused instead.
const MAX_UNCOUNTED_BYTES: usize = 64 << 10;

/// Why a stream ended early; the client's connection is closed with it.
#[derive(Clone, Copy, Debug, Display, Error)]
pub enum StreamError {
    /// The deadline passed.
    #[display("the deadline passed")]
    Late,
    /// This router is shutting down.
    #[display("this router ended")]
    CutShort,
    /// The target broke off, or sent data that is not the next event.
    #[display("the target broke off")]
    Lost,
}

impl StreamError {
    /// Returns the refusal for a client that has received nothing of the stream.
    pub fn refusal(self) -> Refusal {
        match self {
            Self::Late => Refusal::Late,
            Self::CutShort => Refusal::CutShort,
            Self::Lost => Refusal::OutcomeUnknown,
        }
    }
}

impl From<WaitError> for StreamError {
    fn from(error: WaitError) -> Self {
        match error {
            WaitError::Deadline => Self::Late,
            WaitError::Stopping => Self::CutShort,
        }
    }
}

/// A stream that is being forwarded.
pub struct StreamForwarder {
    request: ProxiedRequest,
    answer: Option<TargetResponse>,
    history: AttemptHistory,
    reservation: Option<Reservation>,
    reader: EventReader,
    /// Events for the client.
    pending: BytesMut,
    /// Memory for them, and for the beginning of the next one.
    memory: HeldMemory,
    /// Id of the last event that was forwarded.
    last_event_id: Option<u64>,
    /// Whether an event was forwarded.
    has_events: bool,
    /// When the first event of the current run was forwarded.
    run_began_at: Option<Instant>,
    /// When the first event arrived.
    first_event_at: Option<Instant>,
    /// Start of the current sample of the output rate, and the number of events in it.
    sample_started_at: Option<Instant>,
    sample_events: u64,
    /// Pauses between events of the current run.
    pauses: EventPauses,
    /// Pending check of a broken target connection.
    break_check: Option<BreakCheck>,
}

impl StreamForwarder {
    /// Returns the response to the client once its first event has arrived; the rest is forwarded
    /// as it arrives.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if the stream broke off before: a client that has received nothing gets a
    /// response that states it, rather than a closed connection.
    pub async fn start(
        request: ProxiedRequest,
        answer: TargetResponse,
        history: AttemptHistory,
        reservation: Option<Reservation>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let status = answer.status;
        let headers = answer.headers.clone();
        let last = request.metadata.last_event;
        let memory = request.gw.memory.hold_nothing(Purpose::Request);
        let mut forwarder = Self {
            request,
            answer: Some(answer),
            history,
            reservation,
            reader: EventReader::default(),
            pending: BytesMut::new(),
            memory,
            last_event_id: last,
            has_events: false,
            run_began_at: None,
            first_event_at: None,
            sample_started_at: None,
            sample_events: 0,
            pauses: EventPauses::default(),
            break_check: None,
        };
        let first = match forwarder.next_chunk().await {
            Ok(first) => first,
            Err(error) => {
                forwarder.log_broken(error);
                return Err(error.refusal());
            }
        };
        let body: BodyStream = Box::pin(unfold(Some((forwarder, first)), |state| async move {
            let (mut state, first) = state?;
            let next = match first {
                Some(first) => Ok(Some(first)),
                None => state.next_chunk().await,
            };
            match next {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some((state, None)))),
                Ok(None) => None,
                Err(error) => {
                    state.log_broken(error);
                    Some((Err(error), None))
                }
            }
        }));
        Ok(streamed_response(status, headers, body))
    }

    /// Returns the next bytes for the client; `None` at the end.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, StreamError> {
        loop {
            if !self.pending.is_empty() {
                return Ok(Some(self.pending.split().freeze()));
            }
            let Some(answer) = &mut self.answer else {
                return Ok(None);
            };
            let (gw, deadline) = (&self.request.gw, self.request.plan.deadline);
            self.pauses.begin_wait(Instant::now());
            let is_valid = match gw.run_until(deadline, answer.body.frame()).await {
                Ok(Some(Ok(frame))) => self.push_frame(frame),
                Ok(Some(Err(e))) => {
                    if let Some(overrun) = Overrun::of(&e) {
                        self.record_overrun(overrun);
                    }
                    self.check_break(&e);
                    false
                }
                Ok(None) => self.end_body().await?,
                Err(WaitError::Deadline) => {
                    self.record_unfinished();
                    return Err(StreamError::Late);
                }
                Err(WaitError::Stopping) => return Err(StreamError::CutShort),
            };
            if !is_valid {
                self.resume().await?;
            }
        }
    }

    /// Parses bytes from the target; returns `false` if they are not the next events.
    fn push_frame(&mut self, frame: Frame<Bytes>) -> bool {
        let Ok(bytes) = frame.into_data() else {
            return true;
        };
        if let Some(answer) = &mut self.answer {
            answer.connection.record_received();
        }
        self.request.gw.record_bytes(bytes.len(), bytes.len());
        if !self.reader.push(&bytes) || !self.holds(bytes.len()) {
            self.record_overrun(Overrun::Event);
            return false;
        }
        let mut events = 0;
        while let Some(event) = self.reader.next_event() {
            events += u64::from(event.id.is_some());
            if !self.forward_event(event) {
                return false;
            }
        }
        self.record_pause(events);
        true
    }

    /// Records the pause before this many events, which arrived together.
    fn record_pause(&mut self, events: u64) {
        let Some(ms) = self.pauses.end(events, Instant::now()) else {
            return;
        };
        let plan = &self.request.plan;
        let key = self.history.tried.last().copied().unwrap_or_default();
        let tokens = events * plan.tokens_per_event;
        let gw = &self.request.gw;
        gw.record_pause(&plan.service, key, |pending_tokens, running| OutputPause {
            pending_tokens,
            running,
            tokens,
            ms,
        });
    }

    /// Queues an event for the client; returns `false` if it is not the next one.
    fn forward_event(&mut self, event: Event) -> bool {
        if !event.follows(self.last_event_id) {
            return false;
        }
        if event.id.is_some() {
            self.record_first_event_time();
            self.record_output();
            self.last_event_id = event.id;
            if let Some(r) = &mut self.reservation {
                r.count_event();
            }
        }
        if event.has_fields() {
            self.record_event();
        }
        self.pending.extend_from_slice(&event.bytes);
        true
    }

    /// Takes memory for the events that are being read, the last of which were in a frame of this many
    /// bytes; returns `false` if there is none for so many.
    fn holds(&mut self, frame_bytes: usize) -> bool {
        let bytes = self.reader.len() + self.pending.len() + 2 * frame_bytes;
        let is_held = self.memory.resize(bytes as u64).is_ok();
        if !is_held {
            self.request.gw.record_memory_short(Purpose::Request);
        }
        is_held || bytes <= MAX_UNCOUNTED_BYTES
    }

    /// Records that an event is forwarded, and at the first one which software began the stream.
    fn record_event(&mut self) {
        let now = Instant::now();
        let began_at = *self.run_began_at.get_or_insert(now);
        if now - began_at >= Duration::from_millis(PROOF_MS) {
            self.request.record_answer();
        }
        if !self.has_events {
            self.has_events = true;
            let key = self.history.tried.last().copied().unwrap_or_default();
            self.request.record_origin(key, &mut self.history);
        }
    }

    /// Records the time of the first event.
    fn record_first_event_time(&mut self) {
        if self.last_event_id == self.request.metadata.last_event {
            self.first_event_at = Some(Instant::now());
            let plan = &self.request.plan;
            let took = plan.arrived.elapsed();
            self.request
                .gw
                .metrics
                .record_first_event(plan.route.kind, took);
            self.request.record_response_time(&self.history);
            self.request
                .record_speed(&self.history, FirstEventSample::Arrived);
        }
    }

    /// Counts an event, and records a sample of the output rate if enough output has accumulated.
    fn record_output(&mut self) {
        let Some(at) = self.sample_started_at else {
            self.sample_started_at = Some(Instant::now());
            self.sample_events = 0;
            return;
        };
        self.sample_events += 1;
        let tokens = self.sample_events * self.request.plan.tokens_per_event;
        if tokens >= RATE_SAMPLE_TOKENS {
            self.record_output_rate(at);
            self.sample_started_at = Some(Instant::now());
            self.sample_events = 0;
        }
    }

    fn record_output_rate(&self, since: Instant) {
        let plan = &self.request.plan;
        let tokens = self.sample_events * plan.tokens_per_event;
        let ms = since.elapsed().as_millis() as u64;
        let learn = |times: &mut LatencyHistory, now| times.record_output(now, tokens, ms);
        let key = self.history.tried.last().copied().unwrap_or_default();
        self.request.gw.record_latency(&plan.service, key, learn);
    }

    /// Handles the end of a body without an error; returns `false` if the stream is not complete.
    async fn end_body(&mut self) -> Result<bool, StreamError> {
        let Some(framing) = self.answer.as_ref().map(|answer| answer.framing) else {
            return Ok(true);
        };
        let key = self.history.tried.last().copied().unwrap_or_default();
        let completeness = self.request.completeness(key, framing, self.end_point());
        let deadline = self.request.plan.deadline;
        match self.request.gw.run_until(deadline, completeness).await? {
            Completeness::Complete => self.complete(key),
            Completeness::Broken(break_check) => {
                self.break_check = break_check;
                return Ok(false);
            }
        }
        Ok(true)
    }

    fn record_overrun(&self, overrun: Overrun) {
        if let Some(key) = self.history.tried.last() {
            overrun.record(&self.request.gw, *key);
        }
    }

    /// Records a failure of a target that owes an event when the deadline passes.
    fn record_unfinished(&self) {
        let Some(key) = self.history.tried.last() else {
            return;
        };
        let (gw, plan) = (&self.request.gw, &self.request.plan);
        let silence_ms = gw.silence_ms(&plan.service, &plan.route);
        let is_silent = {
            let targets = gw.targets.borrow();
            targets
                .get(*key)
                .is_some_and(|t| t.silent_ms() > silence_ms)
        };
        if is_silent || self.end_point() != EndPoint::Possible {
            self.request.record_fault(*key, Fault::Lost);
        }
    }

    fn end_point(&self) -> EndPoint {
        if self.reader.is_inside_event() {
            return EndPoint::InsideEvent;
        }
        if self.run_began_at.is_none() {
            return EndPoint::BeforeEvents;
        }
        EndPoint::Possible
    }

    /// Completes a stream that the target ended.
    fn complete(&mut self, key: TargetKey) {
        let rest = self.reader.rest();
        if !rest.is_empty() {
            self.pending.extend_from_slice(&rest);
        }
        let Some(answer) = self.answer.take() else {
            return;
        };
        self.request.record_complete_response(
            key,
            answer.status,
            &answer.metadata,
            answer.framing,
            answer.connection,
        );
        if let Some(mut r) = self.reservation.take() {
            r.mark_complete();
        }
        let plan = &self.request.plan;
        let took = plan.arrived.elapsed();
        self.request.gw.metrics.count_answer(plan.route.kind, took);
        if let Some(at) = self.sample_started_at {
            self.record_output_rate(at);
        }
    }

    /// Starts a check of why the target's connection ended.
    fn check_break(&mut self, e: &hyper::Error) {
        let is_shutdown = self.request.gw.targets_stopped();
        let key = self
            .history
            .tried
            .last()
            .filter(|_| is_connection_error(e) && !is_shutdown);
        self.break_check = key.map(|key| self.request.check_break(*key));
    }

    /// Resumes after the last event at another target, where permitted.
    async fn resume(&mut self) -> Result<(), StreamError> {
        // The previous run must not continue beside the next one.
        self.answer = None;
        self.reader = EventReader::default();
        self.run_began_at = None;
        self.sample_started_at = None;
        self.pauses = EventPauses::default();
        if self.request.gw.targets_stopped() {
            return Err(StreamError::CutShort);
        }
        if let Some(key) = self.history.tried.last() {
            self.request.record_fault(*key, Fault::StreamBroken);
        }
        if !self.request.plan.route.kind.is_retryable() {
            return Err(StreamError::Lost);
        }
        self.request
            .await_break_check(self.break_check.take())
            .await;
        self.request
            .check_quarantine(&self.history)
            .map_err(|_| StreamError::Lost)?;
        loop {
            self.request
                .prepare_retry(&self.history, RetryReason::Resumed)
                .map_err(|_| StreamError::Lost)?;
            let answer = self
                .request
                .next_answer(&mut self.history, self.last_event_id)
                .await
                .map_err(|_| StreamError::Lost)?;
            if answer.metadata.is_event_stream && answer.status.is_success() {
                self.answer = Some(answer);
                return Ok(());
            }
        }
    }

    fn log_broken(&self, error: StreamError) {
        self.request.gw.metrics.count_broken_stream();
        log::info!(
            target: "exchange",
            "Stream broken. request={} cause=\"{error}\" first_event_after_ms={:?} \
             last_event={:?} sent={} after_ms={}",
            self.request.metadata.id_text(),
            self.first_event_at.map(|at| (at - self.request.plan.arrived).as_millis()),
            self.last_event_id,
            self.history.sent,
            self.request.plan.arrived.elapsed().as_millis()
        );
    }
}
