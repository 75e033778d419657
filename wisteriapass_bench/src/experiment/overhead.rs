//! Measures the latency that router and side process add, and their memory per open stream.

mod memory;
mod report;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::fleet::{AccountPlan, Fleet, FleetPlan, Program, Result};
use crate::load::{Call, Caller, History, Tally};
use crate::standin::EngineSettings;

pub use report::{MemoryPerStream, OverheadReport};

/// Model named in the requests.
const MODEL: &str = "wisteria-8b";

/// Length of each answer, in tokens.
const TOKENS: u32 = 40;

/// Time between tokens, in milliseconds; with 200 streams this makes ten tokens per millisecond.
const TOKEN_MS: u64 = 20;

/// Time to the first token of an engine, in milliseconds.
const FIRST_TOKEN_MS: u64 = 20;

/// Number of engines, among which the streams are spread.
const ENGINES: usize = 4;

/// Number of routers, among which the streams are spread.
const ROUTERS: usize = 2;

/// Number of concurrent streams in the warm-up before the measurement.
const WARM_UP_STREAMS: usize = 8;

/// Prepaid tokens of the account, far more than a run spends.
const PREPAID_TOKENS: u64 = 1_000_000_000;

/// Stack size of a stream thread, in bytes.
const STACK_BYTES: usize = 256 << 10;

/// Configuration of a measurement.
#[derive(Clone, Debug)]
pub struct OverheadPlan {
    /// Number of concurrent streams.
    pub streams: usize,
    /// Number of consecutive requests per stream in a phase.
    pub rounds: usize,
    /// Number of phases with and number of phases without the daemons, which alternate.
    pub phases: usize,
    /// Executable of the daemons.
    pub program: Program,
}

impl OverheadPlan {
    /// Creates a plan with 200 streams, 5 rounds and 2 phases each with and without the daemons.
    pub fn new(program: Program) -> Self {
        Self {
            streams: 200,
            rounds: 5,
            phases: 2,
            program,
        }
    }

    /// Runs the measurement.
    ///
    /// # Errors
    ///
    /// Returns [`crate::fleet::FleetError`] if the fleet does not start.
    pub fn run(&self) -> Result<OverheadReport> {
        let machine_load = load_average();
        let fleet = self.start()?;
        let engines: Vec<SocketAddr> = fleet.engines().values().map(|e| e.addr()).collect();
        let routers = fleet.router_addrs();
        let unmeasured = Arc::new(History::new());
        // The warm-up initializes what later streams reuse; it has few streams, so that the growth
        // with all streams still shows.
        self.run_streams(&fleet, &routers, &unmeasured, WARM_UP_STREAMS);
        let memory = memory::per_stream(&fleet, self.streams, || {
            self.run_streams(&fleet, &routers, &unmeasured, self.streams);
        })?;
        let straight = Arc::new(History::new());
        let routed = Arc::new(History::new());
        for _ in 0..self.phases {
            self.run_streams(&fleet, &engines, &straight, self.streams);
            self.run_streams(&fleet, &routers, &routed, self.streams);
        }
        Ok(OverheadReport::new(
            self.streams,
            Tally::of(&straight.records()),
            Tally::of(&routed.records()),
            memory,
            machine_load,
        ))
    }

    /// Starts a fleet without simulated links, whose engines have a slot for every stream.
    fn start(&self) -> Result<Fleet> {
        Fleet::start(FleetPlan {
            routers: ROUTERS,
            engines: ENGINES,
            services: 0,
            accounts: vec![AccountPlan::new("acme").with_prepaid(PREPAID_TOKENS)],
            engine: EngineSettings {
                time_to_first_token: Duration::from_millis(FIRST_TOKEN_MS),
                time_per_token: Duration::from_millis(TOKEN_MS),
                slots: self.streams,
                batch_slowdown: 0.0,
                ..EngineSettings::default()
            },
            log: "warn".into(),
            linked: false,
            ..FleetPlan::new(self.program.clone())
        })
    }

    /// Runs this many concurrent streams, spread over the addresses.
    fn run_streams(
        &self,
        fleet: &Fleet,
        to: &[SocketAddr],
        history: &Arc<History>,
        streams: usize,
    ) {
        let account = &fleet.plan().accounts[0];
        // Start times are spread over the duration of an answer, as real callers are not
        // synchronized.
        let answer_time = Duration::from_millis(FIRST_TOKEN_MS + TOKEN_MS * u64::from(TOKENS));
        let step = answer_time / u32::try_from(streams.max(1)).unwrap_or(u32::MAX);
        std::thread::scope(|scope| {
            for n in 0..streams {
                let to = to[n % to.len()];
                let caller = Caller::new(Arc::clone(history));
                let work = move || {
                    for round in 0..self.rounds {
                        let prompt = format!("stream {n} round {round} tokens={TOKENS}");
                        let id = caller.history().new_call_id();
                        caller.send(to, &Call::chat(id, account, MODEL, &prompt));
                    }
                };
                let builder = std::thread::Builder::new().stack_size(STACK_BYTES);
                builder
                    .spawn_scoped(scope, work)
                    .expect("failed to spawn a stream thread");
                std::thread::sleep(step);
            }
        });
    }
}

/// Returns the 1-minute load average, if the system provides it; results from a busy machine
/// reflect its load more than the daemons.
fn load_average() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").ok()?;
    text.split_whitespace().next()?.parse().ok()
}
