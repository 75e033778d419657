//! Streams an execution's answer as server-sent events while it goes on.

use std::io;

use super::execution::Execution;
use super::wire;
use crate::standin::http::{Call, Stream};

/// Event that ends each answer.
const DONE: &str = "[DONE]";

/// What became of an answer.
enum Outcome {
    /// It was sent to its end.
    Whole,
    /// It reached the number of events after which it goes silent.
    Silent,
}

/// Sends the answer from token `from` on; it goes silent after `silent_after` tokens.
///
/// The execution goes on when the client is gone.
pub(super) fn send(call: Call, run: &Execution, from: usize, silent_after: Option<usize>) {
    let Ok(mut stream) = call.stream("text/event-stream", &run.request_id) else {
        return;
    };
    match send_events(&mut stream, run, from, silent_after) {
        Ok(Outcome::Whole) => {
            stream.finish().ok();
        }
        Ok(Outcome::Silent) => stream.hold(),
        Err(e) => log::debug!(target: "engine", "client of {} is gone: {e}", run.request_id),
    }
}

fn send_events(
    stream: &mut Stream,
    run: &Execution,
    from: usize,
    silent_after: Option<usize>,
) -> io::Result<Outcome> {
    let mut sent = from;
    loop {
        let progress = run.wait_past(sent);
        while sent < progress.generated {
            if silent_after.is_some_and(|n| sent - from >= n) {
                return Ok(Outcome::Silent);
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
