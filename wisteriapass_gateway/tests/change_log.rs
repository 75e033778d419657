//! Updates that a relay sends its followers: the changes since their last request, or the full
//! state where the changes are not known.

use std::rc::Rc;

use quickcheck_macros::quickcheck;
use smallvec::smallvec;
use tokio::time::Instant;
use wisteriapass_gateway::{
    Account, Catalogue, CatalogueChange, Change, ConfigurationLog, Cursor, Limits, RequestKind,
    RevisedChange, Route, Service, TargetChange, TargetEntry, TargetId, TargetLog, WeightedService,
};

fn route(n: u8, variant: u8) -> Route {
    Route {
        name: format!("r{n}"),
        host: format!("h{}", n % 5),
        prefix: format!("/p{}/", n / 5),
        services: smallvec![WeightedService {
            service: format!("s{variant}"),
            weight: 1
        }],
        kind: RequestKind::Idempotent,
        timeout_ms: 1_000,
        latency_goal_ms: 100,
        gap_goal_ms: None,
        max_attempts: 1,
        priority: 1,
        public: false,
        regions: Vec::new(),
    }
}

/// A configuration with generated routes and accounts.
fn catalogue(version: u64, draws: &[(u8, u8)]) -> Catalogue {
    let routes = draws.iter().map(|(n, variant)| route(*n, variant % 3));
    let mut next = Catalogue::new(version, Limits::default()).with_routes(routes.collect());
    let mut names: Vec<u8> = draws.iter().map(|(n, _)| n % 7).collect();
    names.sort_unstable();
    names.dedup();
    for n in names {
        let account = Account {
            name: format!("a{n}"),
            priority: None,
            prepaid: Some(u64::from(draws[0].1)),
            regions: Vec::new(),
        };
        next = next.with_account(account, vec![format!("key-{n}-{}", draws[0].0 % 2)]);
        next = next.with_service(format!("s{n}"), Service::default());
    }
    next
}

/// The full content of a configuration, in a canonical order.
fn canonical(catalogue: &Catalogue) -> CatalogueChange {
    let mut snapshot = catalogue.diff_from(&Catalogue::default());
    let route_key = |r: &Route| (r.host.clone(), r.prefix.clone());
    snapshot.routes.sort_by_key(route_key);
    snapshot
}

#[quickcheck]
fn applying_a_change_yields_the_next_configuration(
    before: Vec<(u8, u8)>,
    after: Vec<(u8, u8)>,
) -> bool {
    let (before, after) = (catalogue(1, &before), catalogue(2, &after));
    let change = after.diff_from(&before);
    let bytes = postcard::to_stdvec(&change).unwrap();
    let read: CatalogueChange = postcard::from_bytes(&bytes).unwrap();
    let next = before.with_change(&read).unwrap();
    canonical(&next) == canonical(&after)
}

#[quickcheck]
fn the_full_configuration_is_a_change_from_the_default(draws: Vec<(u8, u8)>) -> bool {
    let catalogue = catalogue(7, &draws);
    let snapshot = catalogue.diff_from(&Catalogue::default());
    let next = Catalogue::default().with_change(&snapshot).unwrap();
    next.version == 7 && canonical(&next) == canonical(&catalogue)
}

#[test]
fn a_change_from_another_version_is_rejected() {
    let (first, second) = (catalogue(1, &[(1, 1)]), catalogue(2, &[(2, 2)]));
    let change = second.diff_from(&first);
    assert!(second.with_change(&change).is_none());
}

#[test]
fn a_follower_gets_the_changes_it_missed() {
    let mut log = ConfigurationLog::default();
    let many: Vec<(u8, u8)> = (0..250).map(|n| (n, 0)).collect();
    for version in 1..=5 {
        let mut draws = many.clone();
        draws.truncate(240 + version as usize);
        log.push(Rc::new(catalogue(version, &draws)));
    }
    assert!(log.changes_since(5).is_empty());
    let missed = log.changes_since(2);
    let steps: Vec<(u64, u64)> = missed.iter().map(|c| (c.from, c.to)).collect();
    assert_eq!(steps, [(2, 3), (3, 4), (4, 5)]);
    assert!(missed.iter().all(|c| c.routes.len() <= 1));
    let snapshot = log.changes_since(0);
    assert_eq!((snapshot[0].from, snapshot[0].to), (0, 5));
    assert!(snapshot[0].routes.len() > 200);
}

fn entry(id: &str, slots: u32) -> TargetEntry {
    TargetEntry {
        id: TargetId(id.into()),
        service: "s".into(),
        address: ([127, 0, 0, 1], 9).into(),
        failure_domain: "z".into(),
        slots,
        draining: false,
        started_ms: Some(1),
        cold_ms: 0,
        version: "v1".into(),
    }
}

fn cursor(revision: u64) -> Cursor {
    Cursor {
        revision,
        snapshot_bytes: 100,
    }
}

fn revised(revision: u64, change: Change) -> RevisedChange {
    RevisedChange { revision, change }
}

/// Ids of the changed targets that are sent to a follower that knows all changes up to a revision.
fn sent_ids(log: &TargetLog, revision: u64) -> Vec<String> {
    let set = log.changes_since(revision, Instant::now(), |_| None);
    let changes = set.map_or(Vec::new(), |set| set.changes);
    let mut ids: Vec<String> = changes
        .iter()
        .map(|(_, change)| match change {
            TargetChange::Entry(entry) => format!("+{}", entry.id),
            TargetChange::Gone(id) | TargetChange::Missing { id, .. } => format!("-{id}"),
        })
        .collect();
    ids.sort();
    ids
}

fn log_of_three() -> TargetLog {
    let mut log = TargetLog::default();
    let names = ["a", "b", "c"].iter().zip(1..);
    let snapshot: Vec<RevisedChange> = names
        .map(|(id, n)| revised(n, Change::Target(entry(id, 4))))
        .collect();
    log.apply(cursor(10), &snapshot, true);
    log
}

#[test]
fn a_new_follower_gets_all_targets_and_an_up_to_date_one_gets_none() {
    let log = log_of_three();
    assert_eq!(sent_ids(&log, 0), ["+a", "+b", "+c"]);
    assert!(sent_ids(&log, 10).is_empty());
    // A follower that knows more than its relay gets no outdated changes.
    assert!(sent_ids(&log, 11).is_empty());
}

#[test]
fn unchanged_entries_are_not_sent() {
    let mut log = log_of_three();
    log.apply(
        cursor(20),
        &[revised(20, Change::Target(entry("a", 4)))],
        false,
    );
    assert!(sent_ids(&log, 10).is_empty());
    log.apply(
        cursor(30),
        &[revised(30, Change::Target(entry("a", 5)))],
        false,
    );
    assert_eq!(sent_ids(&log, 10), ["+a"]);
}

#[test]
fn a_removed_target_is_sent_as_gone_or_missing() {
    let mut log = log_of_three();
    let gone = Change::Removed(TargetId("b".into()));
    log.apply(cursor(20), &[revised(20, gone)], false);
    assert_eq!(sent_ids(&log, 10), ["-b"]);
    let now = Instant::now();
    let until = now + std::time::Duration::from_millis(900);
    let set = log.changes_since(10, now, |_| Some(until)).unwrap();
    let missing = TargetChange::Missing {
        id: TargetId("b".into()),
        left_ms: 900,
    };
    assert_eq!(set.changes, [(20, missing)]);
    // A snapshot that lacks another entry.
    let rest = [revised(1, Change::Target(entry("a", 4)))];
    log.apply(cursor(30), &rest, true);
    assert_eq!(sent_ids(&log, 20), ["-c"]);
}

#[test]
fn outdated_changes_are_ignored() {
    let mut log = log_of_three();
    let gone = Change::Removed(TargetId("b".into()));
    log.apply(cursor(20), &[revised(20, gone)], false);
    log.apply(
        cursor(20),
        &[revised(15, Change::Target(entry("b", 4)))],
        false,
    );
    assert_eq!(sent_ids(&log, 10), ["-b"]);
    assert_eq!(log.cursor(), cursor(20));
}

/// Guards against a panic at a time that no clock can represent.
#[test]
fn a_relay_that_states_an_endless_time_ends_its_follower() {
    let now = Instant::now();
    let missing = TargetChange::Missing {
        id: TargetId("t".into()),
        left_ms: u64::MAX,
    };
    let Change::Missing(_, until) = missing.into_change(now) else {
        panic!("another change");
    };
    assert!(until > now);
}
