//! Streams an execution's answer as server-sent events while it goes on.

use std::io;

use super::execution::Execution;
use super::wire;
use crate::standin::http::{Call, Stream};

/// Tokens after which a cut answer's connection closes.
pub(super) const CUT_AFTER: usize = 1;

/// Event that ends each answer.
const DONE: &str = "[DONE]";

/// Where an answer stops before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// Nowhere.
    None,
    /// It goes silent after so many tokens.
    Silent(usize),
    /// The connection closes after so many tokens.
    Cut(usize),
}

impl Fault {
    /// Returns the number of tokens after which the answer stops.
    fn stops_after(self) -> Option<usize> {
        match self {
            Self::None => None,
            Self::Silent(tokens) | Self::Cut(tokens) => Some(tokens),
        }
    }
}

/// What became of an answer.
enum Outcome {
    /// It was sent to its end.
    Whole,
    /// It stopped where its fault says.
    Stopped,
}

/// Sends the answer from token `from` on, with a fault.
///
/// The execution goes on when the client is gone.
pub(super) fn send(call: Call, run: &Execution, from: usize, fault: Fault) {
    let Ok(mut stream) = call.stream("text/event-stream", &run.request_id) else {
        return;
    };
    match send_events(&mut stream, run, from, fault.stops_after()) {
        Ok(Outcome::Whole) => {
            stream.finish().ok();
        }
        Ok(Outcome::Stopped) if matches!(fault, Fault::Cut(_)) => drop(stream),
        Ok(Outcome::Stopped) => stream.hold(),
        Err(e) => log::debug!(target: "engine", "client of {} is gone: {e}", run.request_id),
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
        let progress = run.wait_past(sent);
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
            return Ok(Outcome::Whole);
        }
    }
}
