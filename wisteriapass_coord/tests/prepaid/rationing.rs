//! Rationing of an account that lost tokens: which requests are served until its total is used up.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wisteriapass_coord::prepaid::{Rationing, Scarcity, TokenRequest};

const ACCOUNT: &str = "firm";

/// Total, in tokens, of which a tenth is lost and a quarter remains after the loss.
const TOTAL: u64 = 1_000_000;
const LOST: u64 = 100_000;
const REMAINING: u64 = 250_000;

/// Interval between two requests, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 100;

/// Rank and tokens of each kind of request, and how many of ten requests are of that kind.
const KINDS: [(u8, u64, u32); 3] = [(0, 900, 5), (1, 7_000, 1), (2, 1_800, 4)];

/// Outcome of the requests of a run, by rank.
#[derive(Default)]
struct Tally {
    /// Requests that callers rely on, and those of them that were served.
    expected: [u32; 3],
    served: [u32; 3],
}

impl Tally {
    fn served_fraction(&self, rank: usize) -> f64 {
        f64::from(self.served[rank]) / f64::from(self.expected[rank].max(1))
    }
}

/// Simulates one account for some seconds after a loss. Callers rely on what remains and on what
/// was lost beyond 3% of the total.
fn simulate(seed: u64, lost: u64, remaining: u64, seconds: u64, is_rationed: bool) -> Tally {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut draws = ChaCha8Rng::seed_from_u64(seed);
    let mut rationing = Rationing::default();
    let (mut remaining, mut tally) = (remaining, Tally::default());
    let mut relied_on = remaining + lost.saturating_sub(TOTAL * 3 / 100);
    for now_ms in (0..seconds * 1_000).step_by(REQUEST_INTERVAL_MS as usize) {
        let mut place = rng.random_range(0..10);
        let is_drawn = |(_, _, count): &&(u8, u64, u32)| {
            let is_kind = place < *count;
            place = place.saturating_sub(*count);
            is_kind
        };
        let (rank, cost, _) = *KINDS.iter().find(is_drawn).unwrap();
        if cost > relied_on {
            continue;
        }
        tally.expected[usize::from(rank)] += 1;
        // A caller that is refused retries once.
        for _ in 0..2 {
            let request = TokenRequest {
                account: ACCOUNT,
                rank,
                max_cost: cost,
            };
            let scarcity = Scarcity {
                total: TOTAL,
                remaining,
                lost,
                demand_fraction: 1.0,
            };
            let is_refused =
                is_rationed && rationing.should_refuse(now_ms, request, scarcity, draws.random());
            if !is_refused && remaining >= cost {
                remaining -= cost;
                relied_on -= cost;
                tally.served[usize::from(rank)] += 1;
                break;
            }
        }
    }
    tally
}

#[test]
fn after_a_loss_urgent_requests_are_served_longer() {
    for seed in 0..5 {
        let unrationed = simulate(seed, LOST, REMAINING, 20, false);
        let rationed = simulate(seed, LOST, REMAINING, 20, true);
        let urgent = (unrationed.served_fraction(0), rationed.served_fraction(0));
        assert!(urgent.1 > urgent.0, "seed {seed}: {urgent:?}");
        assert!(
            rationed.served_fraction(0) > rationed.served_fraction(2) + 0.1,
            "seed {seed}"
        );
    }
}

#[test]
fn an_account_that_lost_nothing_refuses_nobody() {
    for remaining in [1_000, REMAINING, TOTAL] {
        let rationed = simulate(1, TOTAL * 3 / 100, remaining, 4, true);
        let unrationed = simulate(1, TOTAL * 3 / 100, remaining, 4, false);
        assert_eq!(rationed.served, unrationed.served);
    }
}

#[test]
fn an_account_with_much_left_refuses_nobody() {
    let tally = simulate(1, LOST, TOTAL - LOST, 3, true);
    assert_eq!(tally.served, tally.expected);
}

#[test]
fn refused_requests_offset_the_loss() {
    let mut rationing = Rationing::default();
    let scarcity = Scarcity {
        total: TOTAL,
        remaining: REMAINING,
        lost: LOST,
        demand_fraction: 1.0,
    };
    let mut refused = 0;
    for n in 0..2_000 {
        let request = TokenRequest {
            account: ACCOUNT,
            rank: (n % 2) as u8,
            max_cost: 2_000,
        };
        let probability = rationing.refusal_probability(n * 20, request, scarcity);
        let is_refused = rationing.should_refuse(n * 20, request, scarcity, 0.0);
        assert_eq!(probability > 0.0, is_refused, "request {n}");
        refused += u64::from(is_refused) * 2_000;
    }
    let offset = refused / 2;
    assert!((LOST / 2..=LOST).contains(&offset), "{offset}");
}

#[test]
fn the_most_urgent_requests_of_an_account_are_never_refused() {
    let mut rationing = Rationing::default();
    let scarcity = Scarcity {
        total: TOTAL,
        remaining: 1_000,
        lost: LOST,
        demand_fraction: 1.0,
    };
    for n in 0..100 {
        let request = TokenRequest {
            account: ACCOUNT,
            rank: 1,
            max_cost: 2_000,
        };
        assert!(!rationing.should_refuse(n * 20, request, scarcity, 0.0));
    }
}
