//! Patterns of load over the real path.

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

/// Model that is asked for.
const MODEL: &str = "wisteria-8b";

/// Tokens of a short answer.
const SHORT_TOKENS: u32 = 16;

/// Tokens of a long answer.
const LONG_TOKENS: u32 = 160;

/// Runs at once in each engine.
const SLOTS: usize = 8;

/// Time from token to token, in milliseconds.
const TOKEN_MS: u64 = 10;

/// Engines of the fleet.
const ENGINES: usize = 3;

/// How much slower an engine becomes in the pattern that has a slow one.
const SLOW_FACTOR: f64 = 10.0;

/// Client accounts.
const ACCOUNTS: usize = 4;

/// Tokens of each account, far more than are spent.
const PREPAID: u64 = 1_000_000_000;

/// Most callers at once; a call that finds them all busy waits in the tool.
const MOST_CALLERS: usize = 600;

/// Stack of a thread that makes one call, in bytes.
const STACK: usize = 256 << 10;

/// What is played.
#[derive(Clone, Debug)]
pub struct DrivePlan {
    /// Pattern of the load.
    pub pattern: Pattern,
    /// Seed of arrivals, accounts and lengths.
    pub seed: u64,
    /// How long calls arrive, in seconds.
    pub seconds: u64,
    /// What the daemons run.
    pub program: Program,
}

impl DrivePlan {
    /// Plays it.
    ///
    /// # Errors
    ///
    /// [`crate::fleet::FleetError`] if the fleet does not start.
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
        self.play(&fleet, &history);
        Ok(DriveReport::new(
            self.pattern,
            self.seed,
            &history.records(),
        ))
    }

    fn start(&self) -> Result<Fleet> {
        let accounts = (0..ACCOUNTS).map(|n| {
            let name = format!("account-{n}");
            AccountPlan::new(&name).with_prepaid(PREPAID)
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

    /// Lets calls arrive, each on a thread of its own, whatever became of those before.
    fn play(&self, fleet: &Fleet, history: &Arc<History>) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let routers = fleet.router_addrs();
        let (permits, taken) = flume::bounded::<()>(MOST_CALLERS);
        let began_at = Instant::now();
        let mut at = Duration::ZERO;
        let length = Duration::from_secs(self.seconds);
        std::thread::scope(|scope| {
            loop {
                let share = at.as_secs_f64() / length.as_secs_f64().max(1e-9);
                at += self.gap(share, &mut rng);
                if at >= length {
                    return;
                }
                let call = self.call(fleet, history, &mut rng);
                let to: SocketAddr = routers[rng.random_range(0..routers.len())];
                let caller = Caller::new(Arc::clone(history));
                std::thread::sleep((began_at + at).saturating_duration_since(Instant::now()));
                permits.send(()).ok();
                let taken = taken.clone();
                let work = move || {
                    caller.send(to, &call);
                    taken.recv().ok();
                };
                let builder = std::thread::Builder::new().stack_size(STACK);
                builder
                    .spawn_scoped(scope, work)
                    .expect("the system has threads for all callers");
            }
        });
    }

    /// Draws the time to the next call; `share` of the run has passed.
    fn gap(&self, share: f64, rng: &mut ChaCha8Rng) -> Duration {
        let tokens_per_s = (ENGINES * SLOTS) as f64 * 1e3 / TOKEN_MS as f64;
        let calls_per_s = tokens_per_s / self.pattern.mean_answer_tokens();
        let rate = calls_per_s * self.pattern.offered_load(share);
        Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate)
    }

    fn call(&self, fleet: &Fleet, history: &History, rng: &mut ChaCha8Rng) -> Call {
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
