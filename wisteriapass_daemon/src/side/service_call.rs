//! Execution of one call of a plain service.

use crate::http::{Frame, StreamError, StreamedRequest, stream_chunks};
use crate::prelude::*;
use crate::run_wire::{Blob, CallRun, Finish, HeaderLine, RunEvent};
use crate::side::{Run, SideIdentity};

/// Timeout for the next bytes of a service's answer, in seconds.
const READ_TIMEOUT_S: u64 = 15;

/// Headers that apply to a single connection and are not passed through (RFC 9110, section 7.6.1).
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns whether a header is passed through.
pub fn is_end_to_end(name: &str) -> bool {
    !HOP_BY_HOP_HEADERS
        .iter()
        .any(|h| h.eq_ignore_ascii_case(name))
}

/// Executes a call, which is sent at most once, and ends the run.
pub fn execute(run: &Arc<Run>, call: &CallRun, side: &SideIdentity) {
    let stream = stream_chunks(request(run, call, side));
    let mut has_head = false;
    loop {
        let deadline = Instant::now() + Duration::from_secs(READ_TIMEOUT_S);
        match stream.next(deadline) {
            Ok(Frame::Head { status, headers }) => {
                has_head = true;
                run.push(RunEvent::Head {
                    status,
                    headers: pass_through(headers),
                });
            }
            Ok(Frame::Bytes(data)) => {
                run.push(RunEvent::Bytes { data: Blob(data) });
                if run.is_too_large() {
                    return end_unknown(run, "the answer of the service is too large");
                }
            }
            Ok(Frame::Line(_)) => {}
            Ok(Frame::End) if has_head => return end(run, side, Finish::Stop),
            Ok(Frame::End) => return end_unknown(run, "the service gave no answer"),
            Err(StreamError::NotSent { .. }) => return end(run, side, Finish::Failed),
            Err(StreamError::Broken { cause }) => return end_unknown(run, &cause),
            Err(StreamError::TimedOut) => return end_unknown(run, "the service went silent"),
        }
    }
}

fn end(run: &Run, side: &SideIdentity, finish: Finish) {
    let ran_at = format!("{}/{}", side.name, side.incarnation);
    run.end(&ran_at, finish, 0, 0);
}

/// Ends the run with an unknown outcome, because the call was sent and may have taken effect.
fn end_unknown(run: &Run, cause: &str) {
    run.push(RunEvent::Refused {
        refusal: Refusal::outcome_unknown(cause),
    });
}

fn request(run: &Run, call: &CallRun, side: &SideIdentity) -> StreamedRequest {
    let request_id = ("x-request-id".to_owned(), run.dispatch().run.clone());
    let passed = call.headers.iter().filter(|h| is_end_to_end(&h.name));
    let passed = passed.map(|h| (h.name.clone(), h.value.clone()));
    StreamedRequest {
        method: call.method.clone(),
        url: format!("http://{}{}", side.target, call.path),
        headers: std::iter::once(request_id).chain(passed).collect(),
        body: call.body.0.clone(),
    }
}

fn pass_through(headers: Vec<(String, String)>) -> Vec<HeaderLine> {
    headers
        .into_iter()
        .filter(|(name, _)| is_end_to_end(name))
        .map(|(name, value)| HeaderLine { name, value })
        .collect()
}
