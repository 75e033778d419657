//! Load patterns against a fleet of real daemons.

mod pattern;
mod report;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fleet::{AccountPlan, Fleet, FleetPlan, Program, Result};
use crate::load::{Call, Caller, History};
use crate::standin::{EngineSettings, TargetFaults};

pub use pattern::{Pattern, UnknownPattern};
pub use report::{CallGroup, DriveReport};

/// Model named in the requests.
const MODEL: &str = "wisteria-8b";

/// Length of a short answer, in tokens.
const SHORT_TOKENS: u32 = 16;

/// Length of a long answer, in tokens.
const LONG_TOKENS: u32 = 160;

/// Maximum number of concurrent runs in each engine.
const SLOTS: usize = 8;

/// Time between tokens, in milliseconds.
const TOKEN_MS: u64 = 10;

/// Number of engines.
const ENGINES: usize = 3;

/// Factor by which one engine is slowed down in [`Pattern::Slow`].
const SLOW_FACTOR: f64 = 10.0;

/// Number of client accounts.
const ACCOUNTS: usize = 4;

/// Prepaid tokens of each account, far more than a run spends.
const PREPAID_TOKENS: u64 = 1_000_000_000;

/// Maximum number of concurrent callers; further calls wait in this process before they are sent.
const MAX_CALLERS: usize = 600;

/// Stack size of a caller thread, in bytes.
const STACK_BYTES: usize = 256 << 10;

/// Configuration of a run.
#[derive(Clone, Debug)]
pub struct DrivePlan {
    /// Load pattern.
    pub pattern: Pattern,
    /// Random seed for arrivals, accounts and answer lengths.
    pub seed: u64,
    /// Time during which calls arrive, in seconds.
    pub seconds: u64,
    /// Executable of the daemons.
    pub program: Program,
}

impl DrivePlan {
    /// Runs the load pattern.
    ///
    /// # Errors
    ///
    /// Returns [`crate::fleet::FleetError`] if the fleet does not start.
    pub fn run(&self) -> Result<DriveReport> {
        let fleet = self.start()?;
        if self.pattern == Pattern::Slow
            && let Some(engine) = fleet.engines().values().next()
        {
            engine.set_faults(TargetFaults {
                slow_factor: SLOW_FACTOR,
                ..TargetFaults::default()
            });
        }
        let history = Arc::new(History::new());
        self.generate_load(&fleet, &history);
        Ok(DriveReport::new(
            self.pattern,
            self.seed,
            &history.records(),
        ))
    }

    fn start(&self) -> Result<Fleet> {
        let accounts = (0..ACCOUNTS).map(|n| {
            let name = format!("account-{n}");
            AccountPlan::new(&name).with_prepaid(PREPAID_TOKENS)
        });
        Fleet::start(FleetPlan {
            engines: ENGINES,
            services: 0,
            accounts: accounts.collect(),
            engine: EngineSettings {
                time_per_token: Duration::from_millis(TOKEN_MS),
                slots: SLOTS,
                batch_slowdown: 0.0,
                ..EngineSettings::default()
            },
            log: "warn".into(),
            linked: false,
            ..FleetPlan::new(self.program.clone())
        })
    }

    /// Sends calls as they arrive, each on its own thread, regardless of the state of earlier calls
    /// (open loop).
    fn generate_load(&self, fleet: &Fleet, history: &Arc<History>) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let routers = fleet.router_addrs();
        let (acquire, release) = flume::bounded::<()>(MAX_CALLERS);
        let started_at = Instant::now();
        let mut at = Duration::ZERO;
        let duration = Duration::from_secs(self.seconds);
        std::thread::scope(|scope| {
            loop {
                let elapsed_share = at.as_secs_f64() / duration.as_secs_f64().max(1e-9);
                at += self.arrival_gap(elapsed_share, &mut rng);
                if at >= duration {
                    return;
                }
                let call = self.generate_call(fleet, history, &mut rng);
                let to: SocketAddr = routers[rng.random_range(0..routers.len())];
                let caller = Caller::new(Arc::clone(history));
                std::thread::sleep((started_at + at).saturating_duration_since(Instant::now()));
                acquire.send(()).ok();
                let release = release.clone();
                let work = move || {
                    caller.send(to, &call);
                    release.recv().ok();
                };
                let builder = std::thread::Builder::new().stack_size(STACK_BYTES);
                builder
                    .spawn_scoped(scope, work)
                    .expect("failed to spawn a caller thread");
            }
        });
    }

    /// Draws the time to the next call, after `elapsed_share` of the run.
    fn arrival_gap(&self, elapsed_share: f64, rng: &mut ChaCha8Rng) -> Duration {
        let tokens_per_s = (ENGINES * SLOTS) as f64 * 1e3 / TOKEN_MS as f64;
        let calls_per_s = tokens_per_s / self.pattern.mean_answer_tokens();
        let rate = calls_per_s * self.pattern.offered_load(elapsed_share);
        Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate)
    }

    fn generate_call(&self, fleet: &Fleet, history: &History, rng: &mut ChaCha8Rng) -> Call {
        let accounts = &fleet.plan().accounts;
        let account = match rng.random_bool(self.pattern.first_account_share()) {
            true => &accounts[0],
            false => &accounts[rng.random_range(1..accounts.len())],
        };
        let is_long = rng.random_bool(self.pattern.long_answer_share());
        let (class, tokens) = match is_long {
            true => ("batch", LONG_TOKENS),
            false => ("interactive", SHORT_TOKENS),
        };
        let id = history.new_call_id();
        let prompt = format!("call {id} tokens={tokens}");
        Call::chat(id, account, MODEL, &prompt)
            .with_class(class)
            .with_max_tokens(tokens)
            .with_deadline_ms(5_000)
    }
}
