//! Stand-in for a model engine: streams answers that checkers can compute independently.

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

use crate::standin::faults::{FaultSwitches, Silence, TargetFaults};
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
use stream::{CUT_AFTER_TOKENS, StreamFault};
use wire::{Cancel, Cancelled, ChatRequest, Resume};

/// Priority of a request whose `x-priority` header is missing or unknown.
const DEFAULT_PRIORITY: u8 = 1;

/// A running simulated model engine, which stops when dropped.
pub struct Engine {
    server: HttpServer,
    state: Arc<State>,
}

/// State shared by the request handlers of an engine.
struct State {
    settings: EngineSettings,
    faults: FaultSwitches,
    batch: Batch,
    cache: PrefixCache,
    orders: Orders,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address cannot be bound.
    pub fn start(settings: EngineSettings) -> io::Result<Self> {
        let listen = settings.listen;
        let state = Arc::new(State {
            faults: FaultSwitches::default(),
            batch: Batch::start(&settings),
            cache: PrefixCache::new(&settings),
            orders: Orders::new(&settings),
            settings,
        });
        let server = HttpServer::start(listen, Arc::clone(&state))?;
        Ok(Self { server, state })
    }

    /// Returns the address that the engine listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: TargetFaults) {
        self.state.set_faults(faults);
    }

    /// Returns the records of all executions started so far, in order.
    pub fn executions(&self) -> Vec<ExecutionRecord> {
        self.state.batch.executions()
    }

    /// Returns all orders received so far and whether each was accepted.
    pub fn orders(&self) -> Vec<OrderOutcome> {
        self.state.orders.outcomes()
    }

    /// Blocks the calling thread forever.
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
            ("GET", "/orders") => call.answer(200, &self.orders.outcomes()),
            ("POST", "/orders") => self.handle_order(call),
            ("GET", "/ran") => call.answer(200, &self.batch.executions()),
            ("GET", "/faults") => call.answer(200, &self.faults.get()),
            ("POST", "/faults") => self.replace_faults(call),
            _ => call.answer_error(404, "no such path"),
        }
    }
}

/// Parses the body of a call, or answers with status 400 if it is malformed.
fn parse_body<T: DeserializeOwned>(call: Call) -> Option<(Call, T)> {
    match call.json() {
        Ok(body) => Some((call, body)),
        Err(e) => {
            call.answer_error(400, e.to_string());
            None
        }
    }
}

impl State {
    fn set_faults(&self, faults: TargetFaults) {
        self.batch.set_slow_factor(faults.slow_factor);
        self.faults.set(faults);
    }

    fn replace_faults(&self, call: Call) {
        if let Some((call, faults)) = parse_body(call) {
            self.set_faults(faults);
            call.answer(200, &self.faults.get());
        }
    }

    /// Runs a request and sends its answer, subject to the active faults.
    fn chat(&self, call: Call) {
        let Some((call, req)) = parse_body::<ChatRequest>(call) else {
            return;
        };
        if !self.orders.has_model(&req.model) {
            return call.answer_error(404, format!("model {} is not loaded", req.model));
        }
        if self.faults.consume_error() {
            return call.answer_error(500, "internal error");
        }
        let faults = self.faults.get();
        if faults.silence == Silence::BeforeRun {
            return call.leave_open();
        }
        let id = call.header("x-request-id").unwrap_or_default().to_owned();
        let run = self.submit(&id, &req, call.header("x-priority"));
        if faults.silence == Silence::AfterStart {
            return call.leave_open();
        }
        if req.stream {
            self.send_stream(call, &run, 0);
        } else {
            self.send_completion(call, &run);
        }
    }

    fn submit(&self, id: &str, req: &ChatRequest, priority: Option<&str>) -> Arc<Execution> {
        let prompt = req.prompt();
        let plan = PlannedAnswer::new(&req.model, prompt, req.max_tokens());
        let uncached_share = self.cache.insert_prompt(&req.model, prompt);
        let time_to_first_token = self.settings.time_to_first_token.mul_f64(uncached_share);
        let run = Arc::new(Execution::new(id, &req.model, plan, req.prompt_tokens()));
        let priority = priority.map_or(DEFAULT_PRIORITY, parse_priority);
        self.batch
            .submit(Arc::clone(&run), priority, time_to_first_token);
        run
    }

    fn send_stream(&self, call: Call, run: &Arc<Execution>, from: usize) {
        let faults = self.faults.get();
        if faults.late_ms > 0 {
            run.wait_until_finished();
            std::thread::sleep(Duration::from_millis(faults.late_ms));
        }
        let crossed = self.consume_crossed(run);
        let sent_run = crossed.as_ref().unwrap_or(run);
        if self.faults.consume_reset() {
            run.wait_for_tokens(0);
            return call.close();
        }
        stream::send(call, sent_run, from, self.stream_fault(faults.silent_after));
    }

    fn stream_fault(&self, silent_after: Option<usize>) -> StreamFault {
        if self.faults.consume_cut() {
            return StreamFault::Cut(CUT_AFTER_TOKENS);
        }
        silent_after.map_or(StreamFault::None, StreamFault::Silent)
    }

    fn send_completion(&self, call: Call, run: &Arc<Execution>) {
        run.wait_until_finished();
        let faults = self.faults.get();
        std::thread::sleep(Duration::from_millis(faults.late_ms));
        if self.faults.consume_reset() {
            return call.close();
        }
        let crossed = self.consume_crossed(run);
        let sent_run = crossed.as_ref().unwrap_or(run);
        call.answer_with_id(Some(&sent_run.request_id), 200, &wire::completion(sent_run));
    }

    /// Returns the finished run of another request, if a crossed answer is pending.
    fn consume_crossed(&self, run: &Execution) -> Option<Arc<Execution>> {
        if !self.faults.consume_crossed() {
            return None;
        }
        Some(Arc::new(Execution::for_crossed_answer(run)))
    }

    fn resume(&self, call: Call) {
        let Some((call, req)) = parse_body::<Resume>(call) else {
            return;
        };
        if self.faults.get().silence != Silence::None {
            return call.leave_open();
        }
        match self.batch.find(&req.request_id) {
            Some(run) => self.send_stream(call, &run, req.from),
            None => call.answer_error(404, "no such request is running or ended recently"),
        }
    }

    fn cancel(&self, call: Call) {
        let Some((call, req)) = parse_body::<Cancel>(call) else {
            return;
        };
        if self.faults.get().silence != Silence::None {
            return call.leave_open();
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

    fn handle_order(&self, call: Call) {
        let Some((call, order)) = parse_body::<Order>(call) else {
            return;
        };
        let outcome = self.orders.handle(order);
        let status = if outcome.accepted { 200 } else { 409 };
        call.answer(status, &outcome);
    }
}

/// Parses a priority given as a name or a number; 0 is the most urgent.
fn parse_priority(value: &str) -> u8 {
    match value {
        "interactive" => 0,
        "standard" => 1,
        "batch" => 2,
        number => number.parse().unwrap_or(DEFAULT_PRIORITY),
    }
}
