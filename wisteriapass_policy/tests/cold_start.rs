//! A cold target under routers that differ in who they take for a relay: what it gets in any second.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wisteriapass_policy::Time;
use wisteriapass_policy::cold_start::{SendLog, SendQuota, is_owner};

/// Length of a play, in milliseconds.
const PLAY_MS: u64 = 12_000;

/// Longest time that a request is on its way, in milliseconds.
const WAY_MS: u64 = 300;

/// Longest time until a router in touch knows of a change of the relays, in milliseconds.
const LAG_MS: u64 = 1_500;

/// Shortest time between two changes of the relays, in milliseconds.
const CHANGE_MS: u64 = 900;

/// A router and the list of relays that it goes by.
struct Router {
    name: u64,
    /// Version of the list, and when it looks for a newer one.
    version: usize,
    looks_at: u64,
    is_cut: bool,
    log: SendLog,
}

/// The relays by versions of the record; each differs from the one before in one relay.
struct Record {
    versions: Vec<Vec<u64>>,
}

impl Record {
    fn new(relays: u64) -> Self {
        Self {
            versions: vec![(0..relays).collect()],
        }
    }

    /// Lets one router join the relays, or one leave them.
    fn change(&mut self, routers: u64, rng: &mut StdRng) {
        let mut next = self.versions.last().unwrap().clone();
        let name = rng.random_range(0..routers);
        match next.iter().position(|n| *n == name) {
            Some(at) if next.len() > 1 => drop(next.remove(at)),
            Some(_) => {}
            None => next.push(name),
        }
        self.versions.push(next);
    }
}

fn hashes(names: &[u64]) -> Vec<u64> {
    names.iter().map(|n| n * 7 + 1).collect()
}

/// Plays routers that all send as much as they may; returns when requests arrived.
fn play(seed: u64, may_send: impl Fn(&Router, &[u64], Time) -> bool) -> Vec<u64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let relays = rng.random_range(1..10);
    let count = relays + rng.random_range(0..15);
    let mut record = Record::new(relays);
    let mut routers: Vec<Router> = (0..count)
        .map(|name| Router {
            name,
            version: 0,
            looks_at: 0,
            is_cut: false,
            log: SendLog::default(),
        })
        .collect();
    let mut change_at = rng.random_range(0..PLAY_MS);
    let mut arrivals = Vec::new();
    for now in (0..PLAY_MS).step_by(10) {
        if now >= change_at {
            record.change(count, &mut rng);
            change_at = now + rng.random_range(CHANGE_MS..4 * CHANGE_MS);
        }
        for router in &mut routers {
            if rng.random_ratio(1, 2_000) {
                router.is_cut = !router.is_cut;
            }
            if rng.random_ratio(1, 4_000) {
                router.log = SendLog::default();
                router.version = record.versions.len() - 1;
            }
            if now >= router.looks_at && !router.is_cut {
                router.version = record.versions.len() - 1;
                router.looks_at = now + rng.random_range(0..LAG_MS);
            }
            let time = Time::from_millis(now);
            let list = hashes(&record.versions[router.version]);
            // A burst now and then presses more than a steady draw.
            let wants = if rng.random_ratio(1, 20) { 30 } else { 1 };
            for _ in 0..wants {
                if may_send(router, &list, time) {
                    router.log.record(time);
                    arrivals.push(now + rng.random_range(0..WAY_MS));
                }
            }
        }
    }
    arrivals.sort_unstable();
    arrivals
}

/// Returns the most arrivals within a second.
fn busiest(arrivals: &[u64]) -> usize {
    let within = |from: &u64| {
        let after = arrivals.iter().filter(|at| **at >= *from);
        after.take_while(|at| **at < from + 1_000).count()
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}

fn by_owners(most_per_s: f64) -> impl Fn(&Router, &[u64], Time) -> bool {
    move |router, relays, now| {
        let ration = SendQuota::new(most_per_s, relays.len());
        let me = hashes(&[router.name])[0];
        is_owner(99, me, relays, ration.owners) && router.log.may_send(now, ration.per_owner)
    }
}

#[test]
fn a_cold_target_gets_no_more_than_it_bears_whoever_is_taken_for_a_relay() {
    for most_per_s in [5.0, 6.5, 9.5, 14.0, 29.0, 50.0] {
        for seed in 0..12 {
            let arrivals = play(seed, by_owners(most_per_s));
            let most = busiest(&arrivals);
            assert!(
                most as f64 <= most_per_s,
                "seed {seed}: {most} of {most_per_s}"
            );
        }
    }
}

#[test]
fn a_cold_target_is_not_starved() {
    for most_per_s in [5.0, 9.5, 29.0] {
        let arrivals = play(3, by_owners(most_per_s));
        assert!(arrivals.len() as u64 >= PLAY_MS / 2_700, "{most_per_s}");
    }
}

#[test]
fn the_play_presses_routers_that_do_not_know_of_each_other() {
    let each_by_itself = |router: &Router, _: &[u64], now: Time| router.log.may_send(now, 29);
    let broken = (0..20).filter(|seed| busiest(&play(*seed, each_by_itself)) > 29);
    assert!(broken.count() > 10);
}

#[test]
fn a_ration_uses_as_much_as_it_may_and_no_more_relays_than_there_are() {
    let ration = SendQuota::new(29.0, 6);
    assert_eq!((ration.owners, ration.per_owner), (3, 3));
    let ration = SendQuota::new(9.5, 6);
    assert_eq!((ration.owners, ration.per_owner), (3, 1));
    let ration = SendQuota::new(29.0, 1);
    assert_eq!((ration.owners, ration.per_owner), (1, 9));
    assert_eq!(SendQuota::new(2.0, 6), SendQuota::default());
    assert_eq!(SendQuota::new(29.0, 0), SendQuota::default());
}

#[test]
fn each_target_has_its_owners_and_no_router_beside_the_relays_is_one() {
    let relays = hashes(&[0, 1, 2, 3, 4, 5]);
    for target in 0..50 {
        let owners = relays
            .iter()
            .filter(|me| is_owner(target, **me, &relays, 2));
        assert_eq!(owners.count(), 2);
        assert!(!is_owner(target, hashes(&[9])[0], &relays, 6));
    }
}
