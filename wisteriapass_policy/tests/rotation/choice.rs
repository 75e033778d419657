//! Routers agree on the coordinator of their domain.

use wisteriapass_policy::Time;
use wisteriapass_policy::rotation::{CoordinatorChoice, RelayCandidate};

fn candidates() -> Vec<RelayCandidate> {
    let candidate = |(name, is_strong): (&str, bool)| RelayCandidate {
        name: name.to_owned(),
        is_strong,
    };
    let all = [("w1", false), ("s1", true), ("w2", false), ("s2", true)];
    RelayCandidate::in_order(all.map(candidate).into())
}

/// Reports every 200 ms from `from_ms` until `until_ms`; returns the last relay that was chosen.
fn report(
    choice: &mut CoordinatorChoice,
    me: &str,
    (from_ms, until_ms): (u64, u64),
    answers: impl Fn(&str) -> bool,
) -> String {
    let order = candidates();
    let mut last = String::new();
    for now in (from_ms..=until_ms).step_by(200).map(Time::from_millis) {
        let chosen = choice.choose(now, me, &order).unwrap().name.clone();
        let retried = choice.retry(now, me, &order).map(|c| c.name.clone());
        for relay in retried.into_iter().chain([chosen.clone()]) {
            choice.record_sent(now, &relay);
            if answers(&relay) {
                choice.record_answer(now, &relay, &relay);
            }
        }
        last = chosen;
    }
    last
}

/// Guards against routers that report to a dead coordinator, or do not come back to it, so that two
/// decide at once.
#[test]
fn the_next_relay_decides_while_the_first_one_is_silent() {
    let order = candidates();
    assert!(order[0].is_strong && order[1].is_strong);
    let first = order[0].name.clone();
    for me in ["w1", &order[1].name] {
        let mut choice = CoordinatorChoice::default();
        assert_eq!(report(&mut choice, me, (0, 1_000), |_| true), first);
        let next = report(&mut choice, me, (1_200, 2_000), |relay| relay != first);
        assert_eq!(next, order[1].name);
        assert_eq!(report(&mut choice, me, (2_200, 20_000), |_| true), first);
    }
}

/// Guards against followers that stay at the second relay because they do not know which VMs are
/// strong.
#[test]
fn a_follower_moves_to_the_coordinator_that_a_relay_names() {
    let order = candidates();
    let mut choice = CoordinatorChoice::default();
    let now = Time::from_millis(1_000);
    choice.record_sent(now, &order[0].name);
    choice.record_answer(now, &order[0].name, &order[3].name);
    assert_eq!(choice.choose(now, "f", &order), Some(&order[3]));
}
