//! Event stream of a run at a side process, which survives lost connections.

use std::net::SocketAddr;

use serde::Serialize;

use crate::http::{Frame, FrameReceiver, StreamError, stream_lines};
use crate::metrics::{DropReason, RetryReason};
use crate::prelude::*;
use crate::run_wire::{ATTACH_PATH, Attach, Dispatch, RUN_PATH, RunEvent};

/// Time without data after which a connection counts as lost, in milliseconds; a side process sends
/// a heartbeat each second, so this allows one to be late.
const SILENCE_TIMEOUT_MS: u64 = 2_500;

/// Maximum number of reconnects in a row without a successful attachment.
const MAX_RECONNECTS: u32 = 3;

/// Delay before a reconnect, in milliseconds.
const RECONNECT_DELAY_MS: u64 = 50;

/// Reason why a run cannot be followed any longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStreamError {
    /// The dispatch was never sent.
    NotSent,
    /// The dispatch was sent, and the side process can no longer be reached.
    ConnectionLost,
}

/// Events of one run, received over one connection after the other.
pub struct RunStream<'a> {
    side: SocketAddr,
    run: &'a str,
    fingerprint: &'a str,
    metrics: &'a Metrics,
    stream: FrameReceiver,
    received_events: u64,
    is_attached: bool,
    reconnects: u32,
}

impl<'a> RunStream<'a> {
    /// Sends a dispatch and streams the events of its run.
    pub fn new(side: SocketAddr, dispatch: &'a Dispatch, metrics: &'a Metrics) -> Self {
        let stream = stream_lines(post(side, RUN_PATH, dispatch));
        Self {
            side,
            run: &dispatch.run,
            fingerprint: &dispatch.fingerprint,
            metrics,
            stream,
            received_events: 0,
            is_attached: false,
            reconnects: 0,
        }
    }

    /// Streams the events of an existing run from the first one.
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
            received_events: 0,
            is_attached: false,
            reconnects: 0,
        }
    }

    /// Returns the next event that affects the answer.
    ///
    /// # Errors
    ///
    /// [`RunStreamError`] if the run cannot be followed any longer.
    pub fn next_event(&mut self) -> Result<RunEvent, RunStreamError> {
        loop {
            let deadline = Instant::now() + Duration::from_millis(SILENCE_TIMEOUT_MS);
            let reason = match self.stream.next(deadline) {
                Ok(Frame::Line(line)) => match self.parse_event(&line) {
                    Some(event) => return Ok(event),
                    None => continue,
                },
                Ok(Frame::Head { .. } | Frame::Bytes(_)) => continue,
                Ok(Frame::End) | Err(StreamError::Broken { .. }) => RetryReason::Broken,
                Err(StreamError::TimedOut) => RetryReason::Silent,
                Err(StreamError::NotSent { .. }) if self.reconnects == 0 && !self.is_attached => {
                    return Err(RunStreamError::NotSent);
                }
                Err(StreamError::NotSent { .. }) => RetryReason::NotSent,
            };
            self.reconnect(reason)?;
        }
    }

    /// Parses one line and returns the event if it affects the answer.
    fn parse_event(&mut self, line: &str) -> Option<RunEvent> {
        let Ok(event) = serde_json::from_str::<RunEvent>(line) else {
            self.metrics.count_dropped(DropReason::Malformed);
            return None;
        };
        match &event {
            RunEvent::Beat => return None,
            RunEvent::Attached { run, .. } => {
                // Events of another request's run must never reach this caller.
                if run == self.run {
                    self.is_attached = true;
                    self.reconnects = 0;
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
            _ if !self.is_attached => {
                self.metrics.count_dropped(DropReason::Crossed);
                return None;
            }
            _ => {}
        }
        self.received_events += 1;
        Some(event)
    }

    fn reconnect(&mut self, reason: RetryReason) -> Result<(), RunStreamError> {
        self.metrics.count_retry(reason);
        self.reconnects += 1;
        if self.reconnects > MAX_RECONNECTS {
            return Err(RunStreamError::ConnectionLost);
        }
        std::thread::sleep(Duration::from_millis(RECONNECT_DELAY_MS));
        let attach = Attach {
            run: self.run.into(),
            fingerprint: self.fingerprint.into(),
            from: self.received_events,
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
