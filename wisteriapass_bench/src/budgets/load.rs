//! Requests and top-ups of a simulation, the same for escrow and static split.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::scenario::{BUDGETS, DURATION_MS, ROUTERS, Scenario};

/// Requests per second to each large budget.
const LARGE_PER_S: f64 = 4.0;

/// Requests per second to each small budget.
const SMALL_PER_S: f64 = 0.3;

/// Number of large budgets.
const LARGE_BUDGETS: usize = 3;

/// Mean actual cost of a request, in tokens; follows from the ranges in [`request`].
const MEAN_COST: f64 = 355.0;

/// Share of the requests sent to one router in the skewed scenario.
const SKEWED_SHARE: f64 = 0.8;

/// Interval between top-ups of a nearly empty budget, in milliseconds.
const TOPUP_INTERVAL_MS: u64 = 120_000;

/// Size of each of these top-ups, as a share of the expected demand.
const TOPUP_SHARE: f64 = 0.05;

/// Simulated request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Arrival time, in milliseconds.
    pub at_ms: u64,
    /// Router that receives the request.
    pub router: usize,
    /// Budget that is charged.
    pub budget: usize,
    /// Maximum cost, in tokens.
    pub max_cost: u64,
    /// Actual cost, in tokens.
    pub actual_cost: u64,
    /// Run time, in milliseconds.
    pub duration_ms: u64,
}

/// Tokens added to a budget.
#[derive(Clone, Copy, Debug)]
pub struct TopUp {
    /// Time of the top-up, in milliseconds.
    pub at_ms: u64,
    /// Budget that is topped up.
    pub budget: usize,
    /// Number of tokens added.
    pub tokens: u64,
}

/// Requests and top-ups of a simulation.
pub struct Load {
    /// Requests, ordered by time.
    pub requests: Vec<Request>,
    /// Top-ups, ordered by time.
    pub topups: Vec<TopUp>,
}

impl Load {
    /// Generates the load of a scenario from a seed.
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut requests = Vec::new();
        let mut topups = Vec::new();
        for budget in 0..BUDGETS {
            let rate = if budget < LARGE_BUDGETS {
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
                let times = (1..DURATION_MS / TOPUP_INTERVAL_MS).map(|n| n * TOPUP_INTERVAL_MS);
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

/// Generates a request with a prompt of 50 to 400 tokens and a limit of 512 output tokens, of
/// which it uses a tenth to half.
fn request(rng: &mut ChaCha8Rng, scenario: Scenario, budget: usize, at_ms: u64) -> Request {
    const MAX_OUTPUT: u64 = 512;
    let prompt = rng.random_range(50..400);
    let output = rng.random_range(MAX_OUTPUT / 10..MAX_OUTPUT / 2);
    let is_skewed = scenario == Scenario::Skewed && rng.random_bool(SKEWED_SHARE);
    let router = if is_skewed {
        1
    } else {
        rng.random_range(0..ROUTERS)
    };
    Request {
        at_ms,
        // Callers of a dead router go to the next one.
        router: if scenario.is_alive(router, at_ms) {
            router
        } else {
            router + 1
        },
        budget,
        max_cost: 2 * prompt + MAX_OUTPUT,
        actual_cost: prompt + output,
        duration_ms: 200 + output * 10,
    }
}
