//! The requests and top-ups of a play, the same for each way of spending.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::scenario::{BUDGETS, DURATION_MS, ROUTERS, Scenario};

/// Requests a second to each large budget.
const LARGE_PER_S: f64 = 4.0;

/// Requests a second to each small budget.
const SMALL_PER_S: f64 = 0.3;

/// Large budgets.
const LARGE: usize = 3;

/// Mean of what a request really costs, in tokens; see [`request`].
const MEAN_COST: f64 = 355.0;

/// Share of the callers that the busy router gets when callers are skewed.
const SKEW: f64 = 0.8;

/// Time between two top-ups of a nearly empty budget, in milliseconds.
const TOPUP_EVERY_MS: u64 = 120_000;

/// Each of these top-ups, as a share of the play's expected demand.
const TOPUP_SHARE: f64 = 0.05;

/// One request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// When it comes, in milliseconds.
    pub at_ms: u64,
    /// Router it comes to.
    pub router: usize,
    /// Budget that pays.
    pub budget: usize,
    /// Most it can cost, in tokens.
    pub max_cost: u64,
    /// What it really costs, in tokens.
    pub actual_cost: u64,
    /// How long it runs, in milliseconds.
    pub duration_ms: u64,
}

/// Money added.
#[derive(Clone, Copy, Debug)]
pub struct TopUp {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// Budget.
    pub budget: usize,
    /// Tokens.
    pub tokens: u64,
}

/// Requests and top-ups in the order of their time.
pub struct Load {
    /// Requests.
    pub requests: Vec<Request>,
    /// Top-ups.
    pub topups: Vec<TopUp>,
}

impl Load {
    /// Makes the load of a scenario from a seed.
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut requests = Vec::new();
        let mut topups = Vec::new();
        for budget in 0..BUDGETS {
            let rate = if budget < LARGE {
                LARGE_PER_S
            } else {
                SMALL_PER_S
            };
            let demand = rate * DURATION_MS as f64 / 1_000.0 * MEAN_COST;
            topups.push(TopUp {
                at_ms: 0,
                budget,
                tokens: (demand * scenario.prepaid_ratio()) as u64,
            });
            if scenario == Scenario::NearlyEmpty {
                let times = (1..DURATION_MS / TOPUP_EVERY_MS).map(|n| n * TOPUP_EVERY_MS);
                topups.extend(times.map(|at_ms| TopUp {
                    at_ms,
                    budget,
                    tokens: (demand * TOPUP_SHARE) as u64,
                }));
            }
            requests.extend(arrivals(&mut rng, scenario, budget, rate));
        }
        requests.sort_by_key(|r| r.at_ms);
        topups.sort_by_key(|t| t.at_ms);
        Self { requests, topups }
    }
}

fn arrivals(rng: &mut ChaCha8Rng, scenario: Scenario, budget: usize, rate: f64) -> Vec<Request> {
    let mut requests = Vec::new();
    let mut at = 0.0;
    loop {
        at += -f64::ln(1.0 - rng.random::<f64>()) / rate * 1_000.0;
        if at >= DURATION_MS as f64 {
            return requests;
        }
        requests.push(request(rng, scenario, budget, at as u64));
    }
}

/// Makes a request: prompt of 50 to 400 tokens, at most 512 tokens of output, of which a tenth to
/// half are used.
fn request(rng: &mut ChaCha8Rng, scenario: Scenario, budget: usize, at_ms: u64) -> Request {
    const OUTPUT: u64 = 512;
    let prompt = rng.random_range(50..400);
    let output = rng.random_range(OUTPUT / 10..OUTPUT / 2);
    let is_skewed = scenario == Scenario::Skewed && rng.random_bool(SKEW);
    let router = if is_skewed {
        1
    } else {
        rng.random_range(0..ROUTERS)
    };
    Request {
        at_ms,
        // Callers of a dead router are sent to another one.
        router: if scenario.is_alive(router, at_ms) {
            router
        } else {
            router + 1
        },
        budget,
        max_cost: 2 * prompt + OUTPUT,
        actual_cost: prompt + output,
        duration_ms: 200 + output * 10,
    }
}
