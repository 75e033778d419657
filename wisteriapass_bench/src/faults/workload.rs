//! Callers that ask, and repeat at another router what they got no answer to.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wisteriapass_daemon::api::{Ran, Reason};

use crate::fleet::{AccountPlan, SERVICE};
use crate::load::{Call, Caller, History, Outcome};

/// Longest time that a caller waits for a whole answer, in seconds.
const PATIENCE_S: u64 = 12;

/// Tries of one call.
const MOST_TRIES: u32 = 6;

/// Pause between two tries, in milliseconds.
const PAUSE_MS: u64 = 300;

/// Pause between two calls, in milliseconds.
const THINK_MS: u64 = 60;

/// Share of calls without idempotency key.
const KEYLESS: f64 = 0.15;

/// Share of calls to a plain service that may run at most once.
const WRITES: f64 = 0.25;

/// Who asks what of whom.
pub struct Workload {
    /// Routers, as callers reach them.
    pub routers: Vec<SocketAddr>,
    /// Accounts that ask.
    pub accounts: Vec<AccountPlan>,
    /// Callers of each account.
    pub callers: usize,
    /// Model asked for.
    pub model: String,
    /// Seed of what is asked.
    pub seed: u64,
}

impl Workload {
    /// Lets all callers ask until `ends_at`, and waits for their last calls.
    pub fn play(&self, history: &Arc<History>, ends_at: Instant) {
        std::thread::scope(|s| {
            for (n, account) in self.accounts.iter().enumerate() {
                for caller in 0..self.callers {
                    let seed = self.seed * 1_000 + (n * self.callers + caller) as u64;
                    s.spawn(move || self.ask(history, account, seed, ends_at));
                }
            }
        });
    }

    fn ask(&self, history: &Arc<History>, account: &AccountPlan, seed: u64, ends_at: Instant) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let caller = Caller::new(history.clone()).with_timeout_s(PATIENCE_S);
        while Instant::now() < ends_at {
            let call = self.call(history, account, &mut rng);
            self.until_answered(&caller, &call, &mut rng);
            std::thread::sleep(Duration::from_millis(rng.random_range(0..2 * THINK_MS)));
        }
    }

    fn call(&self, history: &History, account: &AccountPlan, rng: &mut ChaCha8Rng) -> Call {
        let id = history.new_call_id();
        let key = format!("call-{id}");
        if rng.random_bool(WRITES) {
            let path = format!("/{SERVICE}/{id}");
            let call = Call::service(id, account, "PUT", &path, &key);
            return call.with_key(key).with_non_idempotent();
        }
        let tokens = rng.random_range(5..60);
        let prompt = format!("question {id} tokens={tokens}");
        let call = Call::chat(id, account, &self.model, &prompt).with_deadline_ms(8_000);
        if rng.random_bool(KEYLESS) {
            return call;
        }
        call.with_key(key)
    }

    fn until_answered(&self, caller: &Caller, call: &Call, rng: &mut ChaCha8Rng) {
        for _ in 0..MOST_TRIES {
            let Some(router) = self.routers.choose(rng) else {
                return;
            };
            let outcome = caller.send(*router, call);
            if !is_repeated(&outcome, call) {
                return;
            }
            std::thread::sleep(Duration::from_millis(PAUSE_MS));
        }
    }
}

/// Returns whether a caller repeats: what it lost if it gave a key, and what did not run.
fn is_repeated(outcome: &Outcome, call: &Call) -> bool {
    match outcome {
        Outcome::Answered(_) => false,
        Outcome::Lost(_) => call.key.is_some(),
        Outcome::Refused(refused) => match refused.refusal.ran {
            Ran::OutcomeUnknown => call.key.is_some(),
            Ran::NotRun => refused.refusal.reason != Reason::BudgetExhausted,
        },
    }
}
