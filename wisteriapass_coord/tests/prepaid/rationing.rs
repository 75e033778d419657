//! An account that lost money, to the end of its total: whom it still serves.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wisteriapass_coord::prepaid::{Rationing, Scarcity, TokenRequest};

const ACCOUNT: &str = "firm";

/// Total, in tokens, of which a tenth is lost and a quarter is left behind the loss.
const TOTAL: u64 = 1_000_000;
const LOST: u64 = 100_000;
const LEFT: u64 = 250_000;

/// Time between two requests, in milliseconds.
const GAP_MS: u64 = 100;

/// Rank and tokens of the kinds of requests, and how many of ten are of each.
const KINDS: [(u8, u64, u32); 3] = [(0, 900, 5), (1, 7_000, 1), (2, 1_800, 4)];

/// What became of the requests of a play, by rank.
#[derive(Default)]
struct Tally {
    /// Requests that callers count on, and those of them that were served.
    owed: [u32; 3],
    served: [u32; 3],
}

impl Tally {
    fn part(&self, rank: usize) -> f64 {
        f64::from(self.served[rank]) / f64::from(self.owed[rank].max(1))
    }
}

/// Plays one account for some seconds behind a loss; callers count on what is left and what is lost
/// beyond three in a hundred of the total.
fn play(seed: u64, lost: u64, left: u64, seconds: u64, saves: bool) -> Tally {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut draws = ChaCha8Rng::seed_from_u64(seed);
    let mut savings = Rationing::default();
    let (mut left, mut tally) = (left, Tally::default());
    let mut counted_on = left + lost.saturating_sub(TOTAL * 3 / 100);
    for now_ms in (0..seconds * 1_000).step_by(GAP_MS as usize) {
        let mut place = rng.random_range(0..10);
        let fits = |(_, _, count): &&(u8, u64, u32)| {
            let is_it = place < *count;
            place = place.saturating_sub(*count);
            is_it
        };
        let (rank, most, _) = *KINDS.iter().find(fits).unwrap();
        if most > counted_on {
            continue;
        }
        tally.owed[usize::from(rank)] += 1;
        // A caller that is refused comes back once.
        for _ in 0..2 {
            let asked = TokenRequest {
                account: ACCOUNT,
                rank,
                max_cost: most,
            };
            let scarcity = Scarcity {
                total: TOTAL,
                remaining: left,
                lost,
                demand_fraction: 1.0,
            };
            let is_saved = saves && savings.should_refuse(now_ms, asked, scarcity, draws.random());
            if !is_saved && left >= most {
                left -= most;
                counted_on -= most;
                tally.served[usize::from(rank)] += 1;
                break;
            }
        }
    }
    tally
}

#[test]
fn behind_a_loss_the_urgent_are_served_for_longer() {
    for seed in 0..5 {
        let before = play(seed, LOST, LEFT, 20, false);
        let now = play(seed, LOST, LEFT, 20, true);
        let urgent = (before.part(0), now.part(0));
        assert!(urgent.1 > urgent.0, "seed {seed}: {urgent:?}");
        assert!(now.part(0) > now.part(2) + 0.1, "seed {seed}");
    }
}

#[test]
fn an_account_that_lost_nothing_refuses_nobody() {
    for left in [1_000, LEFT, TOTAL] {
        let tally = play(1, TOTAL * 3 / 100, left, 4, true);
        let before = play(1, TOTAL * 3 / 100, left, 4, false);
        assert_eq!(tally.served, before.served);
    }
}

#[test]
fn an_account_with_much_left_refuses_nobody() {
    let tally = play(1, LOST, TOTAL - LOST, 3, true);
    assert_eq!(tally.served, tally.owed);
}

#[test]
fn what_is_saved_pays_the_loss_off() {
    let mut savings = Rationing::default();
    let scarcity = Scarcity {
        total: TOTAL,
        remaining: LEFT,
        lost: LOST,
        demand_fraction: 1.0,
    };
    let mut refused = 0;
    for n in 0..2_000 {
        let asked = TokenRequest {
            account: ACCOUNT,
            rank: (n % 2) as u8,
            max_cost: 2_000,
        };
        refused += u64::from(savings.should_refuse(n * 20, asked, scarcity, 0.0)) * 2_000;
    }
    let paid = refused / 2;
    assert!((LOST / 2..=LOST).contains(&paid), "{paid}");
}

#[test]
fn the_most_urgent_requests_of_an_account_are_never_refused() {
    let mut savings = Rationing::default();
    let scarcity = Scarcity {
        total: TOTAL,
        remaining: 1_000,
        lost: LOST,
        demand_fraction: 1.0,
    };
    for n in 0..100 {
        let asked = TokenRequest {
            account: ACCOUNT,
            rank: 1,
            max_cost: 2_000,
        };
        assert!(!savings.should_refuse(n * 20, asked, scarcity, 0.0));
    }
}
