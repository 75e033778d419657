//! Stand-in for a plain service: answers any call and records the calls it executed.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::sha256_hex;
use crate::standin::faults::{FaultSwitches, Silence, TargetFaults};
use crate::standin::http::{Call, Handler, HttpServer};
use crate::standin::unix_ms;

/// Request id and body digest in a crossed answer, that is, the answer of another request.
const CROSSED_VALUE: &str = "crossed";

/// Settings of a simulated plain service.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Duration of each call, in milliseconds.
    pub call_ms: u64,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            call_ms: 5,
        }
    }
}

/// Record of an executed call, against which checkers compare what clients observed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCallRecord {
    /// Value of the call's `x-request-id` header.
    pub request_id: String,
    /// Method of the call.
    pub method: String,
    /// Path and query of the call.
    pub path: String,
    /// SHA-256 digest of the call's body, in hexadecimal.
    pub body_digest: String,
    /// Time of execution, in milliseconds since the Unix epoch.
    pub started: u64,
}

/// Body of the answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// Value of the call's `x-request-id` header.
    pub request_id: String,
    /// Method of the call.
    pub method: String,
    /// Path and query of the call.
    pub path: String,
    /// SHA-256 digest of the call's body, in hexadecimal.
    pub body_digest: String,
    /// Number of writes (`POST`, `PUT`) to this path so far.
    pub effects: u64,
}

/// A running simulated plain service, which stops when dropped.
pub struct Service {
    server: HttpServer,
    state: Arc<State>,
}

#[derive(Default)]
struct CallLog {
    records: Vec<ServiceCallRecord>,
    effects: BTreeMap<String, u64>,
}

/// State shared by the request handlers of a service.
struct State {
    call_ms: u64,
    faults: FaultSwitches,
    call_log: Mutex<CallLog>,
}

impl Service {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address cannot be bound.
    pub fn start(settings: &ServiceSettings) -> io::Result<Self> {
        let state = Arc::new(State {
            call_ms: settings.call_ms,
            faults: FaultSwitches::default(),
            call_log: Mutex::default(),
        });
        let server = HttpServer::start(settings.listen, Arc::clone(&state))?;
        Ok(Self { server, state })
    }

    /// Returns the address that the service listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: TargetFaults) {
        self.state.faults.set(faults);
    }

    /// Returns the records of all calls executed so far, in order.
    pub fn calls(&self) -> Vec<ServiceCallRecord> {
        self.state.call_log.lock().records.clone()
    }

    /// Returns the number of writes to a path so far.
    pub fn effects(&self, path: &str) -> u64 {
        let call_log = self.state.call_log.lock();
        call_log.effects.get(path).copied().unwrap_or_default()
    }

    /// Blocks the calling thread forever.
    pub fn wait(&mut self) {
        self.server.wait();
    }
}

impl Handler for State {
    fn handle(self: Arc<Self>, call: Call) {
        let method = call.method();
        match (method.as_str(), call.path()) {
            ("GET", "/ran") => call.answer(200, &self.call_log.lock().records),
            ("GET", "/effects") => call.answer(200, &self.call_log.lock().effects),
            ("GET", "/faults") => call.answer(200, &self.faults.get()),
            ("POST", "/faults") => self.replace_faults(call),
            _ => self.serve(call),
        }
    }
}

impl State {
    fn replace_faults(&self, call: Call) {
        match call.json() {
            Ok(faults) => {
                self.faults.set(faults);
                call.answer(200, &self.faults.get());
            }
            Err(e) => call.answer_error(400, e.to_string()),
        }
    }

    /// Executes a call and answers it, subject to the active faults.
    fn serve(&self, call: Call) {
        if self.faults.consume_error() {
            return call.answer_error(500, "internal error");
        }
        let faults = self.faults.get();
        if faults.silence == Silence::BeforeRun {
            return call.leave_open();
        }
        let mut answer = self.execute(&call);
        let duration = Duration::from_millis(self.call_ms).mul_f64(faults.slow_factor.max(0.0));
        std::thread::sleep(duration + Duration::from_millis(faults.late_ms));
        if faults.silence == Silence::AfterStart {
            return call.leave_open();
        }
        if self.faults.consume_reset() {
            return call.close();
        }
        if self.faults.consume_crossed() {
            answer.request_id = CROSSED_VALUE.into();
            answer.body_digest = CROSSED_VALUE.into();
        }
        if faults.silent_after.is_some() {
            return send_half(call, &answer, HalfAnswerEnd::Silent);
        }
        if self.faults.consume_cut() {
            return send_half(call, &answer, HalfAnswerEnd::Cut);
        }
        let request_id = answer.request_id.clone();
        call.answer_with_id(Some(&request_id), 200, &answer);
    }

    fn execute(&self, call: &Call) -> ServiceAnswer {
        let record = ServiceCallRecord {
            request_id: call.header("x-request-id").unwrap_or_default().to_owned(),
            method: call.method(),
            path: call.url().to_owned(),
            body_digest: sha256_hex(call.body()),
            started: unix_ms(),
        };
        let mut call_log = self.call_log.lock();
        let effects = call_log.effects.entry(record.path.clone()).or_default();
        if is_write(&record.method) {
            *effects += 1;
        }
        let answer = ServiceAnswer {
            request_id: record.request_id.clone(),
            method: record.method.clone(),
            path: record.path.clone(),
            body_digest: record.body_digest.clone(),
            effects: *effects,
        };
        call_log.records.push(record);
        answer
    }
}

/// What follows the first half of an answer.
#[derive(Clone, Copy)]
enum HalfAnswerEnd {
    /// The connection stays open and nothing more is sent.
    Silent,
    /// The connection closes.
    Cut,
}

/// Sends the first half of an answer, and then proceeds as `end` says.
fn send_half(call: Call, answer: &ServiceAnswer, end: HalfAnswerEnd) {
    let body = serde_json::to_vec(answer).unwrap_or_default();
    let Ok(mut stream) = call.stream("application/json", &answer.request_id) else {
        return;
    };
    if stream.send(&body[..body.len() / 2]).is_err() {
        return;
    }
    match end {
        HalfAnswerEnd::Silent => stream.leave_open(),
        HalfAnswerEnd::Cut => drop(stream),
    }
}

fn is_write(method: &str) -> bool {
    matches!(method, "POST" | "PUT")
}
