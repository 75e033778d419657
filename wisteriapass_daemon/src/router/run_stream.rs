//! Following a run at a side process over fresh connections.

use std::net::SocketAddr;

use serde::Serialize;

use crate::http::{Frame, FrameReceiver, StreamError, stream_lines};
use crate::metrics::{DropReason, RetryReason};
use crate::prelude::*;
use crate::run_wire::{ATTACH_PATH, Attach, Dispatch, RUN_PATH, RunEvent};

/// Longest silence on a connection, in milliseconds; a side process gives a sign of life each
/// second, so this allows one to be late.
const SILENCE_MS: u64 = 2_500;

/// Fresh connections tried in a row without an event in between.
const MOST_ATTACHMENTS: u32 = 3;

/// Pause before another connection, in milliseconds.
const PAUSE_MS: u64 = 50;

/// Why a run cannot be followed any longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStreamError {
    /// The dispatch was never sent.
    NotSent,
    /// It was sent, and the side process cannot be reached any more.
    ConnectionLost,
}

/// A run being followed.
pub struct RunStream<'a> {
    side: SocketAddr,
    run: &'a str,
    fingerprint: &'a str,
    metrics: &'a Metrics,
    stream: FrameReceiver,
    received: u64,
    attached: bool,
    tries: u32,
}

impl<'a> RunStream<'a> {
    /// Sends a dispatch and follows its run.
    pub fn new(side: SocketAddr, dispatch: &'a Dispatch, metrics: &'a Metrics) -> Self {
        let stream = stream_lines(post(side, RUN_PATH, dispatch));
        Self {
            side,
            run: &dispatch.run,
            fingerprint: &dispatch.fingerprint,
            metrics,
            stream,
            received: 0,
            attached: false,
            tries: 0,
        }
    }

    /// Follows a run that is there already, from its beginning.
    pub fn attach(
        side: SocketAddr,
        run: &'a str,
        fingerprint: &'a str,
        metrics: &'a Metrics,
    ) -> Self {
        let attach = Attach {
            run: run.into(),
            fingerprint: fingerprint.into(),
            from: 0,
        };
        Self {
            side,
            run,
            fingerprint,
            metrics,
            stream: stream_lines(post(side, ATTACH_PATH, &attach)),
            received: 0,
            attached: false,
            tries: 0,
        }
    }

    /// Returns the next event that concerns the answer.
    ///
    /// # Errors
    ///
    /// [`Lost`] if the run cannot be followed any longer.
    pub fn next_event(&mut self) -> Result<RunEvent, RunStreamError> {
        loop {
            let deadline = Instant::now() + Duration::from_millis(SILENCE_MS);
            let reason = match self.stream.next(deadline) {
                Ok(Frame::Line(line)) => match self.take(&line) {
                    Some(event) => return Ok(event),
                    None => continue,
                },
                Ok(Frame::Head { .. } | Frame::Bytes(_)) => continue,
                Ok(Frame::End) | Err(StreamError::Broken { .. }) => RetryReason::Broken,
                Err(StreamError::TimedOut) => RetryReason::Silent,
                Err(StreamError::NotSent { .. }) if self.tries == 0 && !self.attached => {
                    return Err(RunStreamError::NotSent);
                }
                Err(StreamError::NotSent { .. }) => RetryReason::NotSent,
            };
            self.attach_again(reason)?;
        }
    }

    /// Takes one line; returns the event if it concerns the answer.
    fn take(&mut self, line: &str) -> Option<RunEvent> {
        let Ok(event) = serde_json::from_str::<RunEvent>(line) else {
            self.metrics.count_dropped(DropReason::Malformed);
            return None;
        };
        match &event {
            RunEvent::Beat => return None,
            RunEvent::Attached { run, .. } => {
                // An answer that belongs to another request is never passed on.
                if run == self.run {
                    self.attached = true;
                    self.tries = 0;
                } else {
                    self.metrics.count_dropped(DropReason::Crossed);
                }
                return None;
            }
            RunEvent::End { bill, .. } if bill.run != self.run => {
                self.metrics.count_dropped(DropReason::Crossed);
                return None;
            }
            RunEvent::Refused { .. } | RunEvent::NoSuchRun => {}
            _ if !self.attached => {
                self.metrics.count_dropped(DropReason::Crossed);
                return None;
            }
            _ => {}
        }
        self.received += 1;
        Some(event)
    }

    fn attach_again(&mut self, reason: RetryReason) -> Result<(), RunStreamError> {
        self.metrics.count_retry(reason);
        self.tries += 1;
        if self.tries > MOST_ATTACHMENTS {
            return Err(RunStreamError::ConnectionLost);
        }
        std::thread::sleep(Duration::from_millis(PAUSE_MS));
        let attach = Attach {
            run: self.run.into(),
            fingerprint: self.fingerprint.into(),
            from: self.received,
        };
        self.stream = stream_lines(post(self.side, ATTACH_PATH, &attach));
        Ok(())
    }
}

fn post(side: SocketAddr, path: &str, body: &impl Serialize) -> minreq::Request {
    minreq::post(format!("http://{side}{path}"))
        .with_header("content-type", "application/json")
        .with_body(serde_json::to_string(body).unwrap_or_default())
}
