//! What router and side process add to the time to the first byte, and memory per open stream.

mod memory;
mod report;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::fleet::{AccountPlan, Fleet, FleetPlan, Program, Result};
use crate::load::{Call, Caller, History, Tally};
use crate::standin::EngineSettings;

pub use report::{MemoryPerStream, OverheadReport};

/// Model that is asked for.
const MODEL: &str = "wisteria-8b";

/// Tokens of each answer.
const TOKENS: u32 = 40;

/// Time from token to token, in milliseconds; 200 streams make ten tokens a millisecond of it.
const TOKEN_MS: u64 = 20;

/// Time to the first token at the engine, in milliseconds.
const FIRST_TOKEN_MS: u64 = 20;

/// Engines that share the streams.
const ENGINES: usize = 4;

/// Routers that share the streams.
const ROUTERS: usize = 2;

/// Streams open at once before anything is measured.
const WARM_UP_STREAMS: usize = 8;

/// Tokens of the account, far more than are spent.
const PREPAID: u64 = 1_000_000_000;

/// Stack of a thread that holds one stream, in bytes.
const STACK: usize = 256 << 10;

/// What is measured.
#[derive(Clone, Debug)]
pub struct OverheadPlan {
    /// Streams open at once.
    pub streams: usize,
    /// Streams that each of them opens one after the other in a phase.
    pub rounds: usize,
    /// Phases with and phases without the daemons, in turn.
    pub phases: usize,
    /// What the daemons run.
    pub program: Program,
}

impl OverheadPlan {
    /// Plans 200 streams, 5 rounds and 2 phases each way.
    pub fn new(program: Program) -> Self {
        Self {
            streams: 200,
            rounds: 5,
            phases: 2,
            program,
        }
    }

    /// Runs it.
    ///
    /// # Errors
    ///
    /// [`crate::fleet::FleetError`] if the fleet does not start.
    pub fn run(&self) -> Result<OverheadReport> {
        let busy = load_average();
        let fleet = self.start()?;
        let engines: Vec<SocketAddr> = fleet.engines().values().map(|e| e.addr()).collect();
        let routers = fleet.router_addrs();
        let unmeasured = Arc::new(History::new());
        // The first streams pay for what later ones find ready, but few enough of them open that
        // the growth with all streams still shows.
        self.play(&fleet, &routers, &unmeasured, WARM_UP_STREAMS);
        let memory = memory::per_stream(&fleet, self.streams, || {
            self.play(&fleet, &routers, &unmeasured, self.streams);
        })?;
        let straight = Arc::new(History::new());
        let routed = Arc::new(History::new());
        for _ in 0..self.phases {
            self.play(&fleet, &engines, &straight, self.streams);
            self.play(&fleet, &routers, &routed, self.streams);
        }
        Ok(OverheadReport::new(
            self.streams,
            Tally::of(&straight.records()),
            Tally::of(&routed.records()),
            memory,
            busy,
        ))
    }

    /// Starts a fleet without links, whose engines have a slot for every stream.
    fn start(&self) -> Result<Fleet> {
        Fleet::start(FleetPlan {
            routers: ROUTERS,
            engines: ENGINES,
            services: 0,
            accounts: vec![AccountPlan::new("acme").with_prepaid(PREPAID)],
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

    /// Keeps so many streams open at once, spread over the addresses.
    fn play(&self, fleet: &Fleet, to: &[SocketAddr], history: &Arc<History>, streams: usize) {
        let account = &fleet.plan().accounts[0];
        // Streams begin evenly over one answer's time, as callers do not act in step.
        let answer = Duration::from_millis(FIRST_TOKEN_MS + TOKEN_MS * u64::from(TOKENS));
        let step = answer / u32::try_from(streams.max(1)).unwrap_or(u32::MAX);
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
                let builder = std::thread::Builder::new().stack_size(STACK);
                builder
                    .spawn_scoped(scope, work)
                    .expect("the system has threads for all streams");
                std::thread::sleep(step);
            }
        });
    }
}

/// Returns the mean number of processes that wanted a processor in the last minute, if the system
/// says; figures taken on a busy machine say more of it than of the daemons.
fn load_average() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").ok()?;
    text.split_whitespace().next()?.parse().ok()
}
