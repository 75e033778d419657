//! Forwarding a stream of events, and going on at another target when it breaks.

use std::collections::VecDeque;

use derive_more::{Display, Error};
use futures_util::stream::unfold;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Frame;
use wisteriapass_policy::LatencyHistory;

use crate::dispatch::{Answer, is_break};
use crate::events::{Event, EventReader};
use crate::exchange::{AnswerBody, Fault, Job, Noted, Pieces, Tries, streamed};
use crate::gateway::Overdue;
use crate::metrics::RetryReason;
use crate::prelude::*;
use crate::reservation::Reservation;

/// Output of a stream from which its target's pace is learnt while it runs, in tokens.
const LEARNT_TOKENS: u64 = 40;

/// Why a stream ended early; the caller's connection is broken off with it.
#[derive(Clone, Copy, Debug, Display, Error)]
pub enum Broken {
    /// The time is up.
    #[display("the time is up")]
    Late,
    /// This router ends.
    #[display("this router ended")]
    CutShort,
    /// The target broke off, or sent what is no next event.
    #[display("the target broke off")]
    Lost,
}

impl Broken {
    /// Returns what to say to a caller that has nothing of the stream.
    fn refusal(self) -> Refusal {
        match self {
            Self::Late => Refusal::Late,
            Self::CutShort => Refusal::CutShort,
            Self::Lost => Refusal::OutcomeUnknown,
        }
    }
}

impl From<Overdue> for Broken {
    fn from(overdue: Overdue) -> Self {
        match overdue {
            Overdue::Deadline => Self::Late,
            Overdue::Stopping => Self::CutShort,
        }
    }
}

/// One stream under way.
pub struct Forwarding {
    job: Job,
    answer: Option<Answer>,
    tries: Tries,
    reservation: Option<Reservation>,
    reader: EventReader,
    ready: VecDeque<Bytes>,
    /// Id of the last event passed on.
    last: Option<u64>,
    /// When the first event came.
    first_at: Option<Instant>,
    /// When the output that was not learnt from yet began, and how many events it has.
    output_at: Option<Instant>,
    events: u64,
    /// The end of the connection, while it is looked into.
    noted: Option<Noted>,
}

impl Forwarding {
    /// Returns the answer to the caller once its first event is there; the rest is forwarded as it
    /// comes.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if the stream broke before: a caller that has nothing yet gets an answer that says
    /// so, and not the end of its connection.
    pub async fn start(
        job: Job,
        answer: Answer,
        tries: Tries,
        reservation: Option<Reservation>,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let status = answer.status;
        let headers = answer.headers.clone();
        let last = job.facts.last_event;
        let mut forwarding = Self {
            job,
            answer: Some(answer),
            tries,
            reservation,
            reader: EventReader::default(),
            ready: VecDeque::new(),
            last,
            first_at: None,
            output_at: None,
            events: 0,
            noted: None,
        };
        match forwarding.next_piece().await {
            Ok(first) => forwarding.ready.extend(first),
            Err(broken) => {
                forwarding.note_broken(broken);
                return Err(broken.refusal());
            }
        }
        let pieces: Pieces = Box::pin(unfold(Some(forwarding), |state| async move {
            let mut state = state?;
            match state.next_piece().await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(state))),
                Ok(None) => None,
                Err(broken) => {
                    state.note_broken(broken);
                    Some((Err(broken), None))
                }
            }
        }));
        Ok(streamed(status, headers, pieces))
    }

    /// Returns the next bytes for the caller; `None` after the last.
    async fn next_piece(&mut self) -> Result<Option<Bytes>, Broken> {
        loop {
            if let Some(bytes) = self.ready.pop_front() {
                return Ok(Some(bytes));
            }
            let Some(answer) = &mut self.answer else {
                return Ok(None);
            };
            let (gw, deadline) = (&self.job.gw, self.job.plan.deadline);
            let frame = gw.wait(deadline, answer.body.frame()).await?;
            let is_sound = match frame {
                Some(Ok(frame)) => self.take(frame),
                Some(Err(e)) => {
                    self.note_break(&e);
                    false
                }
                None => {
                    self.finish();
                    continue;
                }
            };
            if !is_sound {
                self.resume().await?;
            }
        }
    }

    /// Takes bytes of the target in; `false` if they are no next events.
    fn take(&mut self, frame: Frame<Bytes>) -> bool {
        let Ok(bytes) = frame.into_data() else {
            return true;
        };
        if let Some(answer) = &mut self.answer {
            answer.line.heard();
        }
        if !self.reader.push(&bytes) {
            return false;
        }
        while let Some(event) = self.reader.next_event() {
            if !self.pass_on(event) {
                return false;
            }
        }
        true
    }

    /// Passes an event on, if it is the next.
    fn pass_on(&mut self, event: Event) -> bool {
        let is_next = match (self.last, event.id) {
            (Some(last), Some(id)) => id == last + 1,
            _ => true,
        };
        if !is_next {
            return false;
        }
        if event.id.is_some() {
            self.note_first();
            self.note_output();
            self.last = event.id;
            if let Some(r) = &mut self.reservation {
                r.count_event();
            }
        }
        self.ready.push_back(event.bytes);
        true
    }

    /// Takes the time of the first event.
    fn note_first(&mut self) {
        if self.last == self.job.facts.last_event {
            self.first_at = Some(Instant::now());
            let plan = &self.job.plan;
            let took = plan.arrived.elapsed();
            self.job.gw.metrics.began(plan.route.kind, took);
            self.job.learn_begin(&self.tries);
        }
    }

    /// Counts an event, and learns from the output since the last time.
    fn note_output(&mut self) {
        let Some(at) = self.output_at else {
            self.output_at = Some(Instant::now());
            self.events = 0;
            return;
        };
        self.events += 1;
        let tokens = self.events * self.job.plan.tokens_per_event;
        if tokens >= LEARNT_TOKENS {
            self.learn_output(at);
            self.output_at = Some(Instant::now());
            self.events = 0;
        }
    }

    fn learn_output(&self, since: Instant) {
        let plan = &self.job.plan;
        let tokens = self.events * plan.tokens_per_event;
        let ms = since.elapsed().as_millis() as u64;
        let learn = |times: &mut LatencyHistory, now| times.record_output(now, tokens, ms);
        let key = self.tries.tried.last().copied().unwrap_or_default();
        self.job.gw.learn(&plan.service, key, learn);
    }

    /// Ends a stream that the target ended.
    fn finish(&mut self) {
        let rest = self.reader.rest();
        if !rest.is_empty() {
            self.ready.push_back(rest);
        }
        let Some(answer) = self.answer.take() else {
            return;
        };
        let key = self.tries.tried.last().copied().unwrap_or_default();
        self.job.ease(key);
        self.job.note_whole(answer.status, &answer.facts);
        answer.line.finish(&answer.facts);
        if let Some(mut r) = self.reservation.take() {
            r.mark_complete();
        }
        let plan = &self.job.plan;
        let took = plan.arrived.elapsed();
        self.job.gw.metrics.answered(plan.route.kind, took);
        if let Some(at) = self.output_at {
            self.learn_output(at);
        }
    }

    /// Has the end of the target's connection looked into.
    fn note_break(&mut self, e: &hyper::Error) {
        let is_told = self.job.gw.targets_have_ended();
        let key = self.tries.tried.last().filter(|_| is_break(e) && !is_told);
        self.noted = key.map(|key| self.job.note_break(*key));
    }

    /// Goes on behind the last event at another target, where that is allowed.
    async fn resume(&mut self) -> Result<(), Broken> {
        // The run before must not go on beside the next one.
        self.answer = None;
        self.reader = EventReader::default();
        self.output_at = None;
        if self.job.gw.targets_have_ended() {
            return Err(Broken::CutShort);
        }
        if let Some(key) = self.tries.tried.last() {
            self.job.fault(*key, Fault::Broken);
        }
        if !self.job.plan.route.kind.repeatable() {
            return Err(Broken::Lost);
        }
        self.job.await_note(self.noted.take()).await;
        self.job.admit(&self.tries).map_err(|_| Broken::Lost)?;
        loop {
            let again = self
                .job
                .again(&self.tries, &mut self.reservation, RetryReason::Resumed);
            again.await.map_err(|_| Broken::Lost)?;
            let answer = self
                .job
                .next_answer(&mut self.tries, &mut self.reservation, self.last)
                .await
                .map_err(|_| Broken::Lost)?;
            if answer.facts.is_event_stream && answer.status.is_success() {
                self.answer = Some(answer);
                return Ok(());
            }
        }
    }

    fn note_broken(&self, broken: Broken) {
        self.job.gw.metrics.broke();
        log::info!(
            target: "exchange",
            "Stream broken. request={} cause=\"{broken}\" first_event_after_ms={:?} \
             last_event={:?} sent={} after_ms={}",
            self.job.facts.id_text(),
            self.first_at.map(|at| (at - self.job.plan.arrived).as_millis()),
            self.last,
            self.tries.sent,
            self.job.plan.arrived.elapsed().as_millis()
        );
    }
}
