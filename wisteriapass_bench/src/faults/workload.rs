//! Callers that send requests, and retry at another router those without an answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wisteriapass_daemon::api::{Ran, Reason};

use crate::fleet::{AccountPlan, SERVICE};
use crate::load::{Call, Caller, History, Outcome};

/// Maximum time that a caller waits for a complete answer, in seconds.
const CALL_TIMEOUT_S: u64 = 12;

/// Maximum number of attempts per call.
const MAX_ATTEMPTS: u32 = 6;

/// Delay between two attempts of a call, in milliseconds.
const RETRY_DELAY_MS: u64 = 300;

/// Mean delay between two calls of a caller, in milliseconds.
const THINK_TIME_MS: u64 = 60;

/// Ratio of chats without idempotency key.
const KEYLESS_RATIO: f64 = 0.15;

/// Ratio of calls that are non-idempotent writes to a plain service.
const WRITE_RATIO: f64 = 0.25;

/// Load on the routers of a fleet.
pub struct Workload {
    /// Addresses of the routers for callers.
    pub routers: Vec<SocketAddr>,
    /// Accounts whose callers send requests.
    pub accounts: Vec<AccountPlan>,
    /// Callers per account.
    pub callers: usize,
    /// Requested model.
    pub model: String,
    /// Seed of the requests.
    pub seed: u64,
}

impl Workload {
    /// Runs all callers until `ends_at`, and waits for their last calls.
    pub fn run(&self, history: &Arc<History>, ends_at: Instant) {
        std::thread::scope(|s| {
            for (n, account) in self.accounts.iter().enumerate() {
                for caller in 0..self.callers {
                    let seed = self.seed * 1_000 + (n * self.callers + caller) as u64;
                    s.spawn(move || self.run_caller(history, account, seed, ends_at));
                }
            }
        });
    }

    fn run_caller(
        &self,
        history: &Arc<History>,
        account: &AccountPlan,
        seed: u64,
        ends_at: Instant,
    ) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let caller = Caller::new(history.clone()).with_timeout_s(CALL_TIMEOUT_S);
        while Instant::now() < ends_at {
            let call = self.next_call(history, account, &mut rng);
            self.send_with_retries(&caller, &call, &mut rng);
            std::thread::sleep(Duration::from_millis(
                rng.random_range(0..2 * THINK_TIME_MS),
            ));
        }
    }

    fn next_call(&self, history: &History, account: &AccountPlan, rng: &mut ChaCha8Rng) -> Call {
        let id = history.new_call_id();
        let key = format!("call-{id}");
        if rng.random_bool(WRITE_RATIO) {
            let path = format!("/{SERVICE}/{id}");
            let call = Call::service(id, account, "PUT", &path, &key);
            return call.with_key(key).with_non_idempotent();
        }
        let tokens = rng.random_range(5..60);
        let prompt = format!("question {id} tokens={tokens}");
        let call = Call::chat(id, account, &self.model, &prompt).with_deadline_ms(8_000);
        if rng.random_bool(KEYLESS_RATIO) {
            return call;
        }
        call.with_key(key)
    }

    fn send_with_retries(&self, caller: &Caller, call: &Call, rng: &mut ChaCha8Rng) {
        for _ in 0..MAX_ATTEMPTS {
            let Some(router) = self.routers.choose(rng) else {
                return;
            };
            let outcome = caller.send(*router, call);
            if !is_retried(&outcome, call) {
                return;
            }
            std::thread::sleep(Duration::from_millis(RETRY_DELAY_MS));
        }
    }
}

/// Returns whether a caller retries: a request that did not run, unless its budget is exhausted,
/// and one with an unknown outcome if it has an idempotency key.
fn is_retried(outcome: &Outcome, call: &Call) -> bool {
    match outcome {
        Outcome::Answered(_) => false,
        Outcome::Lost(_) => call.key.is_some(),
        Outcome::Refused(refused) => match refused.refusal.ran {
            Ran::OutcomeUnknown => call.key.is_some(),
            Ran::NotRun => refused.refusal.reason != Reason::BudgetExhausted,
        },
    }
}
