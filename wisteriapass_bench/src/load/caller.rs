//! A caller: sends calls over HTTP and keeps the history of them.

use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::json;
use wisteriapass_daemon::api::ErrorBody;

use super::events::{read_stream, read_whole};
use super::{Answered, Call, ChatWork, History, Outcome, Refused, ServiceWork, Work};
use crate::sha256_hex;
use crate::standin::service::ServiceAnswer;

/// Longest time that a caller waits for a whole answer unless told otherwise, in seconds.
const PATIENCE_S: u64 = 60;

/// Sends calls and records what becomes of them.
#[derive(Clone)]
pub struct Caller {
    history: Arc<History>,
    patience_s: u64,
}

impl Caller {
    /// Creates a caller that writes to `history`.
    pub fn new(history: Arc<History>) -> Self {
        Self {
            history,
            patience_s: PATIENCE_S,
        }
    }

    /// Sets the longest time to wait for a whole answer, in seconds.
    pub fn with_timeout_s(mut self, seconds: u64) -> Self {
        self.patience_s = seconds;
        self
    }

    /// Returns the history it writes to.
    pub fn history(&self) -> &Arc<History> {
        &self.history
    }

    /// Sends a call to a router, or straight to a target, and waits for its end.
    pub fn send(&self, to: SocketAddr, call: &Call) -> Outcome {
        let attempt = self.history.sent(to, call);
        let first = || self.history.first_piece(call.id, attempt);
        let outcome = self.exchange(to, call, first);
        self.history.ended(call.id, attempt, outcome.clone());
        outcome
    }

    fn exchange(&self, to: SocketAddr, call: &Call, first: impl FnOnce()) -> Outcome {
        let answer = match self.request(to, call).send_lazy() {
            Ok(answer) => answer,
            Err(e) => return Outcome::lost(e.to_string(), 0),
        };
        // minreq makes up a 503 when the connection closes before a status line.
        if answer.headers.is_empty() {
            return Outcome::lost("the connection closed without an answer", 0);
        }
        if answer.status_code != 200 {
            return read_refusal(answer);
        }
        match &call.work {
            Work::Chat(chat) if chat.stream => read_stream(answer, chat, first),
            Work::Chat(chat) => read_whole(answer, chat),
            Work::Service(work) => read_service(answer, work),
        }
    }

    fn request(&self, to: SocketAddr, call: &Call) -> minreq::Request {
        let req = match &call.work {
            Work::Chat(chat) => chat_request(to, chat),
            Work::Service(work) => service_request(to, work),
        };
        let mut req = req
            .with_header("connection", "close")
            .with_header("authorization", format!("Bearer {}", call.account_key))
            .with_timeout(self.patience_s);
        if let Some(key) = &call.key {
            req = req.with_header("idempotency-key", key);
        }
        if let Some(class) = &call.class {
            req = req.with_header("x-wisteriapass-class", class);
        }
        if let Some(ms) = call.deadline_ms {
            req = req.with_header("x-wisteriapass-deadline-ms", ms.to_string());
        }
        if call.non_idempotent {
            req = req.with_header("x-wisteriapass-non-idempotent", "true");
        }
        req
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

/// Reads a refusal; anything else that is not an answer counts as lost.
fn read_refusal(mut answer: minreq::ResponseLazy) -> Outcome {
    let status = answer.status_code;
    let mut text = Vec::new();
    if let Err(e) = std::io::Read::read_to_end(&mut answer, &mut text) {
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

/// Reads the answer of a plain service's stand-in.
fn read_service(mut answer: minreq::ResponseLazy, work: &ServiceWork) -> Outcome {
    let mut text = Vec::new();
    if let Err(e) = std::io::Read::read_to_end(&mut answer, &mut text) {
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
        Err(e) => Outcome::lost(format!("cut answer: {e}"), 0),
    }
}
