//! Rate of requests at a cold target whose routers disagree on the list of relays.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wisteriapass_policy::cold_start::{SendQuota, WINDOW_MS, is_owner};
use wisteriapass_policy::{SendLog, Time};

/// Length of a simulation, in milliseconds.
const RUN_MS: u64 = 12_000;

/// Maximum transit time of a request, in milliseconds.
const MAX_TRANSIT_MS: u64 = 300;

/// Maximum time until a connected router learns of a change of the relays, in milliseconds.
const MAX_LAG_MS: u64 = 1_500;

/// Minimum interval between two changes of the relays, in milliseconds.
const MIN_CHANGE_INTERVAL_MS: u64 = 900;

/// A router and its view of the relay list.
struct Router {
    name: u64,
    /// Version of the list, and when the router refreshes it.
    version: usize,
    refresh_at: u64,
    is_partitioned: bool,
    log: SendLog,
}

/// The relay list by version; each version differs from the previous one in one relay.
struct Record {
    versions: Vec<Vec<u64>>,
}

impl Record {
    fn new(relays: u64) -> Self {
        Self {
            versions: vec![(0..relays).collect()],
        }
    }

    /// Adds a router to the relays or removes one.
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

/// Simulates routers that send as much as they are allowed to; returns the arrival times.
fn simulate(seed: u64, may_send: impl Fn(&Router, &[u64], Time) -> bool) -> Vec<u64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let relays = rng.random_range(1..10);
    let count = relays + rng.random_range(0..15);
    let mut record = Record::new(relays);
    let mut routers: Vec<Router> = (0..count)
        .map(|name| Router {
            name,
            version: 0,
            refresh_at: 0,
            is_partitioned: false,
            log: SendLog::default(),
        })
        .collect();
    let mut change_at = rng.random_range(0..RUN_MS);
    let mut arrivals = Vec::new();
    for now in (0..RUN_MS).step_by(10) {
        if now >= change_at {
            record.change(count, &mut rng);
            change_at = now + rng.random_range(MIN_CHANGE_INTERVAL_MS..4 * MIN_CHANGE_INTERVAL_MS);
        }
        for router in &mut routers {
            if rng.random_ratio(1, 2_000) {
                router.is_partitioned = !router.is_partitioned;
            }
            if rng.random_ratio(1, 4_000) {
                router.log = SendLog::default();
                router.version = record.versions.len() - 1;
            }
            if now >= router.refresh_at && !router.is_partitioned {
                router.version = record.versions.len() - 1;
                router.refresh_at = now + rng.random_range(0..MAX_LAG_MS);
            }
            let time = Time::from_millis(now);
            let list = hashes(&record.versions[router.version]);
            // Occasional bursts load the target more than a steady rate.
            let attempts = if rng.random_ratio(1, 20) { 30 } else { 1 };
            for _ in 0..attempts {
                if may_send(router, &list, time) {
                    router.log.record(time);
                    arrivals.push(now + rng.random_range(0..MAX_TRANSIT_MS));
                }
            }
        }
    }
    arrivals.sort_unstable();
    arrivals
}

/// Returns the highest number of arrivals within a second.
fn max_per_second(arrivals: &[u64]) -> usize {
    let within = |from: &u64| {
        let after = arrivals.iter().filter(|at| **at >= *from);
        after.take_while(|at| **at < from + 1_000).count()
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}

fn owners_within_quota(max_per_s: f64) -> impl Fn(&Router, &[u64], Time) -> bool {
    move |router, relays, now| {
        let quota = SendQuota::new(max_per_s, relays.len());
        let own_hash = hashes(&[router.name])[0];
        is_owner(99, own_hash, relays, quota.owners)
            && router.log.may_send(now, WINDOW_MS, quota.per_owner)
    }
}

#[test]
fn cold_target_stays_within_its_rate_with_stale_relay_lists() {
    for max_per_s in [5.0, 6.5, 9.5, 14.0, 29.0, 50.0] {
        for seed in 0..12 {
            let arrivals = simulate(seed, owners_within_quota(max_per_s));
            let most = max_per_second(&arrivals);
            assert!(
                most as f64 <= max_per_s,
                "seed {seed}: {most} of {max_per_s}"
            );
        }
    }
}

#[test]
fn cold_target_is_not_starved() {
    for max_per_s in [5.0, 9.5, 29.0] {
        let arrivals = simulate(3, owners_within_quota(max_per_s));
        assert!(arrivals.len() as u64 >= RUN_MS / 2_700, "{max_per_s}");
    }
}

#[test]
fn simulation_overloads_target_without_coordination() {
    let each_on_its_own =
        |router: &Router, _: &[u64], now: Time| router.log.may_send(now, WINDOW_MS, 29);
    let overloaded_runs =
        (0..20).filter(|seed| max_per_second(&simulate(*seed, each_on_its_own)) > 29);
    assert!(overloaded_runs.count() > 10);
}

#[test]
fn quota_uses_the_whole_budget_and_at_most_all_relays() {
    let quota = SendQuota::new(29.0, 6);
    assert_eq!((quota.owners, quota.per_owner), (3, 3));
    let quota = SendQuota::new(9.5, 6);
    assert_eq!((quota.owners, quota.per_owner), (3, 1));
    let quota = SendQuota::new(29.0, 1);
    assert_eq!((quota.owners, quota.per_owner), (1, 9));
    assert_eq!(SendQuota::new(2.0, 6), SendQuota::default());
    assert_eq!(SendQuota::new(29.0, 0), SendQuota::default());
}

#[test]
fn owners_are_relays_and_as_many_as_asked() {
    let relays = hashes(&[0, 1, 2, 3, 4, 5]);
    for target in 0..50 {
        let owners = relays
            .iter()
            .filter(|own_hash| is_owner(target, **own_hash, &relays, 2));
        assert_eq!(owners.count(), 2);
        assert!(!is_owner(target, hashes(&[9])[0], &relays, 6));
    }
}
