//! What a ranking says of the candidates is what the choice among them goes by.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wisteriapass_policy::placement::{
    Candidate, HeldPrefix, LatencyGoal, PassedOver, Prompt, Ranking, choose_target, hash_name,
};

/// Number of random candidate sets.
const SETS: usize = 5_000;

/// Returns random candidates of every kind, with some that are equal.
fn random_candidates(rng: &mut ChaCha8Rng) -> Vec<Candidate<usize>> {
    let slow = [1.0, 1.0, 0.8, 1.3, 2.5];
    let count = rng.random_range(1..12);
    let candidates = (0..count).map(|key| Candidate {
        key,
        hash: hash_name(&format!("t{key}")),
        slots: rng.random_range(0..4),
        running: rng.random_range(0..5),
        pending_prompt_tokens: rng.random_range(0..4) * 500,
        has_prefix: rng.random_bool(0.1),
        in_same_domain: rng.random_bool(0.3),
        recent_failures: [0.0, 0.0, 0.5, 3.0][rng.random_range(0..4)],
        silent: rng.random_bool(0.1),
        slowness: slow[rng.random_range(0..slow.len())],
        lasting_slowness: slow[rng.random_range(0..slow.len())],
    });
    candidates.collect()
}

fn random_prompt(rng: &mut ChaCha8Rng) -> Prompt {
    let shared_tokens = rng.random_range(0..3) * 1_000;
    Prompt {
        shared_prefix: rng.random_bool(0.7).then(|| rng.random_range(0..20)),
        shared_tokens,
        tokens: [0, shared_tokens + 200, shared_tokens + 9_000][rng.random_range(0..3)],
        goal: rng.random_bool(0.5).then_some(LatencyGoal {
            base_tokens: 500.0,
            max_tokens: 12_000.0,
        }),
    }
}

/// Guards against an explanation that names another target than the one that gets the request.
#[test]
fn the_cheapest_candidate_that_is_not_passed_over_is_chosen() {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    for set in 0..SETS {
        let (candidates, prompt) = (random_candidates(&mut rng), random_prompt(&mut rng));
        let (routers, seed) = (rng.random_range(1..6), rng.random());
        let ranking = Ranking::new(&candidates, prompt, routers);
        let eligible = candidates
            .iter()
            .filter(|c| ranking.passed_over(c).is_none());
        let totals = eligible.map(|c| (c.key, ranking.cost(c).total()));
        let totals: Vec<(usize, f64)> = totals.collect();
        let least = totals
            .iter()
            .map(|(_, total)| *total)
            .min_by(f64::total_cmp);
        let chosen = choose_target(&candidates, prompt, routers, seed).unwrap();
        let cost = totals.iter().find(|(key, _)| *key == chosen);
        assert_eq!(cost.map(|(_, total)| *total), least, "set {set}");
    }
}

/// Guards against terms that do not account for the whole cost.
#[test]
fn the_terms_of_a_cost_add_up_to_its_total() {
    let mut rng = ChaCha8Rng::seed_from_u64(12);
    for _ in 0..SETS {
        let (candidates, prompt) = (random_candidates(&mut rng), random_prompt(&mut rng));
        let ranking = Ranking::new(&candidates, prompt, 3);
        for c in &candidates {
            let cost = ranking.cost(c);
            let terms = cost.queue + cost.read + cost.slowness() + cost.failures;
            let sum = terms - cost.domain_bonus;
            assert!((sum - cost.total()).abs() < 1e-6, "{cost:?}");
        }
    }
}

/// Guards against reasons that contradict the state of the candidates.
#[test]
fn a_candidate_is_passed_over_only_for_better_ones() {
    let mut rng = ChaCha8Rng::seed_from_u64(13);
    let (mut unhealthy, mut late) = (0, 0);
    for _ in 0..SETS {
        let (candidates, prompt) = (random_candidates(&mut rng), random_prompt(&mut rng));
        let ranking = Ranking::new(&candidates, prompt, 3);
        for c in &candidates {
            match ranking.passed_over(c) {
                Some(PassedOver::Unhealthy) => {
                    unhealthy += 1;
                    assert!(c.silent || c.recent_failures > 0.0);
                }
                Some(PassedOver::Late) => {
                    late += 1;
                    assert!(prompt.goal.is_some() && prompt.tokens > 0);
                }
                None => {}
            }
            let held = ranking.held_prefix(c);
            assert_eq!(held == HeldPrefix::Sent, c.has_prefix);
            assert!(prompt.shared_prefix.is_some() || held.share() == 0.0 || c.has_prefix);
        }
    }
    assert!(unhealthy > 0 && late > 0, "{unhealthy} {late}");
}
