//! HTTP server for the dispatches and attachments of routers.

use serde::de::DeserializeOwned;

use crate::clock;
use crate::fleet::Fleet;
use crate::http::{Listener, Request, StreamWriter, read_body, respond_json};
use crate::prelude::*;
use crate::run_wire::{ATTACH_PATH, Attach, Dispatch, RUN_PATH, RunEvent};
use crate::shutdown::Shutdown;
use crate::side::executor::Executor;
use crate::side::runs::BeginOutcome;
use crate::side::{NextEvent, Run, Runs, SideIdentity, SideMoney};

/// Interval between heartbeats on a stream without new events, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 1_000;

/// Maximum size of a dispatch, in bytes: the body of a request and its metadata.
const MAX_DISPATCH_BYTES: usize = 8 << 20;

/// Timeout for receiving a dispatch, in seconds.
const DISPATCH_TIMEOUT_S: u64 = 5;

/// A run to stream, if it exists, or a refusal.
type RunResult = Result<Option<Arc<Run>>, Refusal>;

/// Handler for the requests of routers.
struct DispatchServer {
    side: Arc<SideIdentity>,
    runs: Arc<Runs>,
    money: Arc<SideMoney>,
    executor: Arc<Executor>,
    metrics: Arc<Metrics>,
    shutdown: Arc<Shutdown>,
    fleet: Arc<Fleet>,
}

/// Serves the requests of routers on a listener.
///
/// # Errors
///
/// [`crate::kernel::KernelError`] if a required service is missing.
pub fn serve(listener: &Listener, kernel: &Kernel) -> crate::kernel::Result<()> {
    let executor = kernel.register(Executor::new(kernel)?);
    let server = DispatchServer {
        side: kernel.find()?,
        runs: kernel.find()?,
        money: kernel.find()?,
        metrics: kernel.find()?,
        shutdown: kernel.find()?,
        fleet: kernel.find()?,
        executor,
    };
    crate::http::serve(listener, "side", move |req| server.handle(req));
    Ok(())
}

impl DispatchServer {
    fn handle(&self, req: Request) {
        let _work = self.shutdown.begin_work();
        let deadline = Instant::now() + Duration::from_secs(DISPATCH_TIMEOUT_S);
        let body = match read_body(&req, MAX_DISPATCH_BYTES, deadline) {
            Ok(body) => body,
            Err(e) => return refuse(req, &Refusal::not_run(Reason::BadRequest, e.to_string())),
        };
        let (result, from) = match req.url() {
            RUN_PATH => self.handle_dispatch(&body),
            ATTACH_PATH => self.handle_attach(&body),
            _ => (Err(Refusal::not_run(Reason::BadRequest, "unknown path")), 0),
        };
        match result {
            Ok(Some(run)) => self.stream(req, &run, from),
            Ok(None) => respond_with_event(req, &RunEvent::NoSuchRun),
            Err(refusal) => {
                self.metrics.count_refusal(refusal.reason);
                refuse(req, &refusal);
            }
        }
    }

    fn handle_dispatch(&self, body: &[u8]) -> (RunResult, u64) {
        let dispatch: Dispatch = match parse(body) {
            Ok(dispatch) => dispatch,
            Err(refusal) => return (Err(refusal), 0),
        };
        let from = dispatch.from;
        (self.begin(dispatch).map(Some), from)
    }

    fn begin(&self, dispatch: Dispatch) -> Result<Arc<Run>, Refusal> {
        // Attaching to an existing run is allowed even while this process is stopping or leaving.
        if let Some(run) = self.runs.find_known(&dispatch)? {
            return Ok(run);
        }
        if self.shutdown.is_requested() {
            return Err(Refusal::not_run(
                Reason::Stopping,
                "the side process is stopping",
            ));
        }
        if !dispatch.incarnation.is_empty() && dispatch.incarnation != self.side.incarnation {
            return Err(Refusal::not_run(
                Reason::NoTarget,
                "the side process was replaced",
            ));
        }
        if clock::now() > dispatch.start_by {
            let message = "the dispatch arrived after its deadline";
            return Err(Refusal::not_run(Reason::Deadline, message));
        }
        if let Some(cause) = self.fleet.own_leaving_cause() {
            let message = format!("the target is leaving ({cause:?})");
            return Err(Refusal::not_run(Reason::NoTarget, message));
        }
        match self.runs.begin(dispatch, |d| self.money.admit(d))? {
            BeginOutcome::Known(run) => Ok(run),
            BeginOutcome::New(run) => {
                self.executor.start(run.clone());
                Ok(run)
            }
        }
    }

    fn handle_attach(&self, body: &[u8]) -> (RunResult, u64) {
        let attach: Attach = match parse(body) {
            Ok(attach) => attach,
            Err(refusal) => return (Err(refusal), 0),
        };
        (self.runs.find(&attach), attach.from)
    }

    fn stream(&self, req: Request, run: &Run, from: u64) {
        run.add_follower();
        self.metrics.adjust_streams(1);
        // The error needs no handling: a router that lost its connection attaches again.
        let _ = self.write_events(req, run, usize::try_from(from).unwrap_or(usize::MAX));
        self.metrics.adjust_streams(-1);
        run.remove_follower();
    }

    fn write_events(&self, req: Request, run: &Run, from: usize) -> std::io::Result<()> {
        let mut out = StreamWriter::new(req, 200, &[("content-type", "application/x-ndjson")])?;
        let attached = RunEvent::Attached {
            run: run.dispatch().run.clone(),
            incarnation: self.side.incarnation.clone(),
        };
        send(&mut out, &attached)?;
        let mut index = from;
        loop {
            match run.wait_for_event(
                index,
                Instant::now() + Duration::from_millis(HEARTBEAT_INTERVAL_MS),
            ) {
                NextEvent::Event(event) => {
                    index += 1;
                    send(&mut out, &event)?;
                }
                NextEvent::Idle => send(&mut out, &RunEvent::Beat)?,
                NextEvent::Ended => return out.finish(),
            }
        }
    }
}

fn send(out: &mut StreamWriter, event: &RunEvent) -> std::io::Result<()> {
    let mut line = serde_json::to_vec(event)?;
    line.push(b'\n');
    out.send(&line)
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|e| Refusal::not_run(Reason::BadRequest, e.to_string()))
}

fn refuse(req: Request, refusal: &Refusal) {
    let refusal = refusal.clone();
    respond_with_event(req, &RunEvent::Refused { refusal });
}

/// Responds with a single event.
fn respond_with_event(req: Request, event: &RunEvent) {
    let body = serde_json::to_string(event).unwrap_or_default() + "\n";
    respond_json(req, 200, body, &[]);
}
