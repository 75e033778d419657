//! HTTP client that records its calls in a history.

use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::json;
use wisteriapass_daemon::api::ErrorBody;

use super::events::{read_single, read_stream};
use super::{Answered, Call, ChatWork, History, Outcome, Refused, ServiceWork, Work};
use crate::sha256_hex;
use crate::standin::service::ServiceAnswer;

/// Default timeout of a call, up to the end of its answer, in seconds.
const DEFAULT_TIMEOUT_S: u64 = 60;

/// Sends calls and records them with their outcomes.
#[derive(Clone)]
pub struct Caller {
    history: Arc<History>,
    timeout_s: u64,
}

impl Caller {
    /// Creates a caller that records its calls in `history`.
    pub fn new(history: Arc<History>) -> Self {
        Self {
            history,
            timeout_s: DEFAULT_TIMEOUT_S,
        }
    }

    /// Sets the timeout of a call, up to the end of its answer, in seconds.
    pub fn with_timeout_s(mut self, seconds: u64) -> Self {
        self.timeout_s = seconds;
        self
    }

    /// Returns the history that it records its calls in.
    pub fn history(&self) -> &Arc<History> {
        &self.history
    }

    /// Sends a call to a router, or directly to a target, and waits until it ends.
    pub fn send(&self, to: SocketAddr, call: &Call) -> Outcome {
        let attempt = self.history.record_sent(to, call);
        let on_first_piece = || self.history.record_first_piece(call.id, attempt);
        let outcome = self.exchange(to, call, on_first_piece);
        self.history.record_ended(call.id, attempt, outcome.clone());
        outcome
    }

    fn exchange(&self, to: SocketAddr, call: &Call, on_first_piece: impl FnOnce()) -> Outcome {
        let response = match self.request(to, call).send_lazy() {
            Ok(response) => response,
            Err(e) => return Outcome::lost(e.to_string(), 0),
        };
        // minreq reports status 503 without headers if the connection closes before the status
        // line.
        if response.headers.is_empty() {
            return Outcome::lost("the connection closed without an answer", 0);
        }
        if response.status_code != 200 {
            return read_refusal(response);
        }
        match &call.work {
            Work::Chat(chat) if chat.stream => read_stream(response, chat, on_first_piece),
            Work::Chat(chat) => read_single(response, chat),
            Work::Service(work) => read_service(response, work),
        }
    }

    fn request(&self, to: SocketAddr, call: &Call) -> minreq::Request {
        let request = match &call.work {
            Work::Chat(chat) => chat_request(to, chat),
            Work::Service(work) => service_request(to, work),
        };
        let mut request = request
            .with_header("connection", "close")
            .with_header("authorization", format!("Bearer {}", call.account_key))
            .with_timeout(self.timeout_s);
        if let Some(key) = &call.key {
            request = request.with_header("idempotency-key", key);
        }
        if let Some(class) = &call.class {
            request = request.with_header("x-wisteriapass-class", class);
        }
        if let Some(ms) = call.deadline_ms {
            request = request.with_header("x-wisteriapass-deadline-ms", ms.to_string());
        }
        if call.non_idempotent {
            request = request.with_header("x-wisteriapass-non-idempotent", "true");
        }
        request
    }
}

fn chat_request(to: SocketAddr, chat: &ChatWork) -> minreq::Request {
    let body = json!({
        "model": chat.model,
        "messages": [{"role": "user", "content": chat.prompt}],
        "max_tokens": chat.max_tokens,
        "stream": chat.stream,
    });
    minreq::post(format!("http://{to}/v1/chat/completions"))
        .with_header("content-type", "application/json")
        .with_body(body.to_string())
}

fn service_request(to: SocketAddr, work: &ServiceWork) -> minreq::Request {
    let method = minreq::Method::Custom(work.method.clone());
    minreq::Request::new(method, format!("http://{to}/services{}", work.path))
        .with_body(work.body.clone())
}

/// Reads a refusal; a response that is no refusal counts as lost.
fn read_refusal(mut response: minreq::ResponseLazy) -> Outcome {
    let status = response.status_code;
    let mut text = Vec::new();
    if let Err(e) = std::io::Read::read_to_end(&mut response, &mut text) {
        return Outcome::lost(e.to_string(), 0);
    }
    match serde_json::from_slice::<ErrorBody>(&text) {
        Ok(body) => Outcome::Refused(Refused {
            status,
            refusal: body.error,
        }),
        Err(_) => Outcome::lost(format!("status {status} without a refusal"), 0),
    }
}

/// Reads the answer of a plain service's stand-in, and compares it with the request.
fn read_service(mut response: minreq::ResponseLazy, work: &ServiceWork) -> Outcome {
    let mut text = Vec::new();
    if let Err(e) = std::io::Read::read_to_end(&mut response, &mut text) {
        return Outcome::lost(e.to_string(), 0);
    }
    match serde_json::from_slice::<ServiceAnswer>(&text) {
        Ok(body) => {
            let is_expected = body.method == work.method
                && body.path == work.path
                && body.body_digest == sha256_hex(work.body.as_bytes());
            Outcome::Answered(Answered {
                run: body.request_id,
                is_expected,
                effects: body.effects,
                ..Answered::default()
            })
        }
        Err(e) => Outcome::lost(format!("incomplete or malformed answer: {e}"), 0),
    }
}
