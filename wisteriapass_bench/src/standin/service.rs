//! Stand-in for a plain service: answers any call and keeps what it did.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::sha256_hex;
use crate::standin::faults::{Silence, Switches, TargetFaults};
use crate::standin::http::{Call, Handler, HttpServer};
use crate::standin::unix_ms;

/// Request id and body digest that a crossed answer shows.
const CROSSED: &str = "crossed";

/// What a plain service's stand-in is like.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Time that each call takes, in milliseconds.
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

/// A call that was carried out, as the ground truth for checkers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCallRecord {
    /// The call's `x-request-id`.
    pub request_id: String,
    /// Its method.
    pub method: String,
    /// Its path and query.
    pub path: String,
    /// SHA-256 of its body, in hexadecimal.
    pub body_digest: String,
    /// When it was carried out, in milliseconds since the Unix epoch.
    pub started: u64,
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// The call's `x-request-id`.
    pub request_id: String,
    /// Its method.
    pub method: String,
    /// Its path and query.
    pub path: String,
    /// SHA-256 of its body, in hexadecimal.
    pub body_digest: String,
    /// Writes (`POST`, `PUT`) to this path so far.
    pub effects: u64,
}

/// A running stand-in for a plain service; it stops when dropped.
pub struct Service {
    server: HttpServer,
    state: Arc<State>,
}

#[derive(Default)]
struct Done {
    ran: Vec<ServiceCallRecord>,
    effects: BTreeMap<String, u64>,
}

/// What the handlers of a service share.
struct State {
    call_ms: u64,
    switches: Switches,
    done: Mutex<Done>,
}

impl Service {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// The system's error if the address cannot be bound.
    pub fn start(settings: &ServiceSettings) -> io::Result<Self> {
        let state = Arc::new(State {
            call_ms: settings.call_ms,
            switches: Switches::default(),
            done: Mutex::default(),
        });
        let server = HttpServer::start(settings.listen, Arc::clone(&state))?;
        Ok(Self { server, state })
    }

    /// Returns the address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: TargetFaults) {
        self.state.switches.set(faults);
    }

    /// Returns every call that was carried out so far, in order.
    pub fn calls(&self) -> Vec<ServiceCallRecord> {
        self.state.done.lock().ran.clone()
    }

    /// Returns the number of writes to a path so far.
    pub fn effects(&self, path: &str) -> u64 {
        let done = self.state.done.lock();
        done.effects.get(path).copied().unwrap_or_default()
    }

    /// Waits for ever.
    pub fn wait(&mut self) {
        self.server.wait();
    }
}

impl Handler for State {
    fn handle(self: Arc<Self>, call: Call) {
        let method = call.method();
        match (method.as_str(), call.path()) {
            ("GET", "/ran") => call.answer(200, &self.done.lock().ran),
            ("GET", "/effects") => call.answer(200, &self.done.lock().effects),
            ("GET", "/faults") => call.answer(200, &self.switches.get()),
            ("POST", "/faults") => self.switch(call),
            _ => self.serve(call),
        }
    }
}

impl State {
    fn switch(&self, call: Call) {
        match call.json() {
            Ok(faults) => {
                self.switches.set(faults);
                call.answer(200, &self.switches.get());
            }
            Err(e) => call.refuse(400, e.to_string()),
        }
    }

    /// Carries a call out and answers it, under the faults in force.
    fn serve(&self, call: Call) {
        if self.switches.take_error() {
            return call.refuse(500, "internal error");
        }
        let faults = self.switches.get();
        if faults.silence == Silence::BeforeRun {
            return call.hold();
        }
        let mut answer = self.carry_out(&call);
        let takes = Duration::from_millis(self.call_ms).mul_f64(faults.slow_factor.max(0.0));
        std::thread::sleep(takes + Duration::from_millis(faults.late_ms));
        if faults.silence == Silence::AfterStart {
            return call.hold();
        }
        if self.switches.take_reset() {
            return call.close();
        }
        if self.switches.take_crossed() {
            answer.request_id = CROSSED.into();
            answer.body_digest = CROSSED.into();
        }
        if faults.silent_after.is_some() {
            return send_half(call, &answer, Ending::Silent);
        }
        if self.switches.take_cut() {
            return send_half(call, &answer, Ending::Cut);
        }
        let request_id = answer.request_id.clone();
        call.answer_as(Some(&request_id), 200, &answer);
    }

    fn carry_out(&self, call: &Call) -> ServiceAnswer {
        let ran = ServiceCallRecord {
            request_id: call.header("x-request-id").unwrap_or_default().to_owned(),
            method: call.method(),
            path: call.url().to_owned(),
            body_digest: sha256_hex(call.body()),
            started: unix_ms(),
        };
        let mut done = self.done.lock();
        let effects = done.effects.entry(ran.path.clone()).or_default();
        if is_write(&ran.method) {
            *effects += 1;
        }
        let answer = ServiceAnswer {
            request_id: ran.request_id.clone(),
            method: ran.method.clone(),
            path: ran.path.clone(),
            body_digest: ran.body_digest.clone(),
            effects: *effects,
        };
        done.ran.push(ran);
        answer
    }
}

/// How half an answer ends.
#[derive(Clone, Copy)]
enum Ending {
    /// Nothing more comes.
    Silent,
    /// The connection closes.
    Cut,
}

/// Sends half of an answer.
fn send_half(call: Call, answer: &ServiceAnswer, ending: Ending) {
    let text = serde_json::to_vec(answer).unwrap_or_default();
    let Ok(mut stream) = call.stream("application/json", &answer.request_id) else {
        return;
    };
    if stream.send(&text[..text.len() / 2]).is_err() {
        return;
    }
    match ending {
        Ending::Silent => stream.hold(),
        Ending::Cut => drop(stream),
    }
}

fn is_write(method: &str) -> bool {
    matches!(method, "POST" | "PUT")
}
