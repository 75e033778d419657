//! Streams the answer of a running execution as server-sent events.

use std::io;

use super::execution::Execution;
use super::wire;
use crate::standin::http::{Call, Stream};

/// Number of tokens after which the connection of a cut answer closes.
pub(super) const CUT_AFTER_TOKENS: usize = 1;

/// Event that ends each answer.
const DONE: &str = "[DONE]";

/// How an answer stops before its end, if it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamFault {
    /// The answer is complete.
    None,
    /// Nothing more is sent after this many tokens; the connection stays open.
    Silent(usize),
    /// The connection closes after this many tokens.
    Cut(usize),
}

impl StreamFault {
    /// Returns the number of tokens after which the answer stops.
    fn stops_after(self) -> Option<usize> {
        match self {
            Self::None => None,
            Self::Silent(tokens) | Self::Cut(tokens) => Some(tokens),
        }
    }
}

/// How sending an answer ended.
enum Outcome {
    /// The whole answer was sent.
    Complete,
    /// The answer stopped early because of its fault.
    Stopped,
}

/// Sends the answer from token `from` on, with a fault.
///
/// The execution continues if the client disconnects.
pub(super) fn send(call: Call, run: &Execution, from: usize, fault: StreamFault) {
    let Ok(mut stream) = call.stream("text/event-stream", &run.request_id) else {
        return;
    };
    match send_events(&mut stream, run, from, fault.stops_after()) {
        Ok(Outcome::Complete) => {
            stream.finish().ok();
        }
        Ok(Outcome::Stopped) if matches!(fault, StreamFault::Cut(_)) => drop(stream),
        Ok(Outcome::Stopped) => stream.leave_open(),
        Err(e) => log::debug!(target: "engine", "client of {} disconnected: {e}", run.request_id),
    }
}

fn send_events(
    stream: &mut Stream,
    run: &Execution,
    from: usize,
    stops_after: Option<usize>,
) -> io::Result<Outcome> {
    let mut sent = from;
    loop {
        let progress = run.wait_for_tokens(sent);
        while sent < progress.generated {
            if stops_after.is_some_and(|n| sent - from >= n) {
                return Ok(Outcome::Stopped);
            }
            stream.send_event(&wire::token_chunk(run, &run.plan.tokens[sent]))?;
            sent += 1;
        }
        if progress.finished.is_some() {
            stream.send_event(&wire::finish_chunk(run, progress))?;
            stream.send_event(&wire::usage_chunk(run, progress))?;
            stream.send_event(DONE)?;
            return Ok(Outcome::Complete);
        }
    }
}
