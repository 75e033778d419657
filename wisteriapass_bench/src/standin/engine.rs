//! Stand-in for a model engine: streams answers that checkers can compute again.

mod answer;
mod batch;
mod cache;
mod execution;
mod orders;
mod settings;
mod stream;
mod wire;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;

use crate::standin::faults::{Silence, Switches, TargetFaults};
use crate::standin::http::{Call, Handler, HttpServer};

pub use answer::{FinishReason, PlannedAnswer, expected_answer, prompt_tokens};
pub use cache::{CacheChange, CacheEvent};
pub use execution::ExecutionRecord;
pub use orders::{Order, OrderKind, OrderOutcome};
pub use settings::EngineSettings;
pub use wire::LoadReport;

use batch::Batch;
use cache::PrefixCache;
use execution::Execution;
use orders::Orders;
use stream::{CUT_AFTER, Fault};
use wire::{Cancel, Cancelled, ChatRequest, Resume};

/// Priority of a request whose `x-priority` header is missing or unknown.
const DEFAULT_PRIORITY: u8 = 1;

/// A running stand-in for a model engine; it stops when dropped.
pub struct Engine {
    server: HttpServer,
    state: Arc<State>,
}

/// What the handlers of an engine share.
struct State {
    settings: EngineSettings,
    switches: Switches,
    batch: Batch,
    cache: PrefixCache,
    orders: Orders,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// The system's error if the address cannot be bound.
    pub fn start(settings: EngineSettings) -> io::Result<Self> {
        let listen = settings.listen;
        let state = Arc::new(State {
            switches: Switches::default(),
            batch: Batch::start(&settings),
            cache: PrefixCache::new(&settings),
            orders: Orders::new(&settings),
            settings,
        });
        let server = HttpServer::start(listen, Arc::clone(&state))?;
        Ok(Self { server, state })
    }

    /// Returns the address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: TargetFaults) {
        self.state.set_faults(faults);
    }

    /// Returns every execution that was started so far, in order.
    pub fn executions(&self) -> Vec<ExecutionRecord> {
        self.state.batch.ran()
    }

    /// Returns the orders it took or refused so far.
    pub fn orders(&self) -> Vec<OrderOutcome> {
        self.state.orders.taken()
    }

    /// Waits for ever.
    pub fn wait(&mut self) {
        self.server.wait();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.state.batch.stop();
    }
}

impl Handler for State {
    fn handle(self: Arc<Self>, call: Call) {
        let method = call.method();
        let path = call.path().to_owned();
        match (method.as_str(), path.as_str()) {
            ("POST", "/v1/chat/completions") => self.chat(call),
            ("POST", "/v1/resume") => self.resume(call),
            ("POST", "/v1/cancel") => self.cancel(call),
            ("GET", "/load") => call.answer(200, &self.batch.load_report()),
            ("GET", "/events") => self.events(call),
            ("GET", "/models") => call.answer(200, &self.orders.models()),
            ("GET", "/orders") => call.answer(200, &self.orders.taken()),
            ("POST", "/orders") => self.order(call),
            ("GET", "/ran") => call.answer(200, &self.batch.ran()),
            ("GET", "/faults") => call.answer(200, &self.switches.get()),
            ("POST", "/faults") => self.switch(call),
            _ => call.refuse(404, "no such path"),
        }
    }
}

/// Reads a body or refuses the call.
fn body_or_refuse<T: DeserializeOwned>(call: Call) -> Option<(Call, T)> {
    match call.json() {
        Ok(body) => Some((call, body)),
        Err(e) => {
            call.refuse(400, e.to_string());
            None
        }
    }
}

impl State {
    fn set_faults(&self, faults: TargetFaults) {
        self.batch.set_slow_factor(faults.slow_factor);
        self.switches.set(faults);
    }

    fn switch(&self, call: Call) {
        if let Some((call, faults)) = body_or_refuse(call) {
            self.set_faults(faults);
            call.answer(200, &self.switches.get());
        }
    }

    /// Runs a request and streams its answer, under the faults in force.
    fn chat(&self, call: Call) {
        let Some((call, req)) = body_or_refuse::<ChatRequest>(call) else {
            return;
        };
        if !self.orders.has_model(&req.model) {
            return call.refuse(404, format!("model {} is not loaded", req.model));
        }
        if self.switches.take_error() {
            return call.refuse(500, "internal error");
        }
        let faults = self.switches.get();
        if faults.silence == Silence::BeforeRun {
            return call.hold();
        }
        let id = call.header("x-request-id").unwrap_or_default().to_owned();
        let run = self.submit(&id, &req, call.header("x-priority"));
        if faults.silence == Silence::AfterStart {
            return call.hold();
        }
        if req.stream {
            self.answer_stream(call, &run, 0);
        } else {
            self.answer_whole(call, &run);
        }
    }

    fn submit(&self, id: &str, req: &ChatRequest, priority: Option<&str>) -> Arc<Execution> {
        let prompt = req.prompt();
        let plan = PlannedAnswer::new(&req.model, prompt, req.max_tokens());
        let uncached = self.cache.visit(&req.model, prompt);
        let first_token = self.settings.time_to_first_token.mul_f64(uncached);
        let run = Arc::new(Execution::new(id, &req.model, plan, req.prompt_tokens()));
        let priority = priority.map_or(DEFAULT_PRIORITY, parse_priority);
        self.batch.submit(Arc::clone(&run), priority, first_token);
        run
    }

    fn answer_stream(&self, call: Call, run: &Arc<Execution>, from: usize) {
        let faults = self.switches.get();
        if faults.late_ms > 0 {
            run.wait_end();
            std::thread::sleep(Duration::from_millis(faults.late_ms));
        }
        let crossed = self.take_crossed(run);
        let shown = crossed.as_ref().unwrap_or(run);
        if self.switches.take_reset() {
            run.wait_past(0);
            return call.close();
        }
        stream::send(call, shown, from, self.stream_fault(faults.silent_after));
    }

    fn stream_fault(&self, silent_after: Option<usize>) -> Fault {
        if self.switches.take_cut() {
            return Fault::Cut(CUT_AFTER);
        }
        silent_after.map_or(Fault::None, Fault::Silent)
    }

    fn answer_whole(&self, call: Call, run: &Arc<Execution>) {
        run.wait_end();
        let faults = self.switches.get();
        std::thread::sleep(Duration::from_millis(faults.late_ms));
        if self.switches.take_reset() {
            return call.close();
        }
        let crossed = self.take_crossed(run);
        let shown = crossed.as_ref().unwrap_or(run);
        call.answer_as(Some(&shown.request_id), 200, &wire::whole(shown));
    }

    /// Returns another request's finished run, if a crossed answer is due.
    fn take_crossed(&self, run: &Execution) -> Option<Arc<Execution>> {
        if !self.switches.take_crossed() {
            return None;
        }
        Some(Arc::new(Execution::crossed_with(run)))
    }

    fn resume(&self, call: Call) {
        let Some((call, req)) = body_or_refuse::<Resume>(call) else {
            return;
        };
        if self.switches.get().silence != Silence::None {
            return call.hold();
        }
        match self.batch.find(&req.request_id) {
            Some(run) => self.answer_stream(call, &run, req.from),
            None => call.refuse(404, "no such request is running or ended recently"),
        }
    }

    fn cancel(&self, call: Call) {
        let Some((call, req)) = body_or_refuse::<Cancel>(call) else {
            return;
        };
        if self.switches.get().silence != Silence::None {
            return call.hold();
        }
        let answer = match self.batch.find(&req.request_id) {
            Some(run) => self.batch.cancel(&run),
            None => Cancelled::default(),
        };
        call.answer(200, &answer);
    }

    fn events(&self, call: Call) {
        let after = call.query("after").and_then(|n| n.parse().ok());
        call.answer(200, &self.cache.events_after(after.unwrap_or_default()));
    }

    fn order(&self, call: Call) {
        let Some((call, order)) = body_or_refuse::<Order>(call) else {
            return;
        };
        let taken = self.orders.take(order);
        let status = if taken.accepted { 200 } else { 409 };
        call.answer(status, &taken);
    }
}

/// Reads a priority, most urgent first, by name or number.
fn parse_priority(text: &str) -> u8 {
    match text {
        "interactive" => 0,
        "standard" => 1,
        "batch" => 2,
        number => number.parse().unwrap_or(DEFAULT_PRIORITY),
    }
}
