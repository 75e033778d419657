//! Evacuated failure domains, and the effect on their targets.

use std::time::Duration;

use tokio::time::Instant;
use wisteriapass_gateway::{Change, Evacuations, RevisedChange, TargetEntry, TargetId, Targets};

const SERVICE: &str = "s";

/// Time for which targets are cold after a start, in milliseconds.
const START_MS: u64 = 3_000;

fn evacuated(revision: u64, domain: &str) -> RevisedChange {
    RevisedChange {
        revision,
        change: Change::Evacuated(domain.into()),
    }
}

fn restored(revision: u64, domain: &str) -> RevisedChange {
    RevisedChange {
        revision,
        change: Change::Restored(domain.into()),
    }
}

fn domains(evacuations: &Evacuations) -> Vec<&str> {
    evacuations.domains().iter().map(String::as_str).collect()
}

fn entry(id: &str, domain: &str) -> TargetEntry {
    TargetEntry {
        id: TargetId(id.into()),
        service: SERVICE.into(),
        address: ([127, 0, 0, 1], 9).into(),
        failure_domain: domain.into(),
        slots: 4,
        draining: false,
        started_ms: None,
        cold_ms: 0,
        version: "v1".into(),
    }
}

fn available_ids(targets: &Targets, now: Instant) -> Vec<String> {
    let available = targets.available(SERVICE, now);
    let mut ids: Vec<String> = available
        .iter()
        .map(|(_, t)| t.entry.id.0.clone())
        .collect();
    ids.sort();
    ids
}

fn is_cold(targets: &Targets, id: &str, now: Instant) -> bool {
    let available = targets.available(SERVICE, now);
    let target = available.iter().find(|(_, t)| t.entry.id.0 == id);
    target.is_some_and(|(_, t)| t.is_cold(START_MS, now))
}

fn later(now: Instant, ms: u64) -> Instant {
    now + Duration::from_millis(ms)
}

fn two_domains(now: Instant) -> Targets {
    let mut targets = Targets::default();
    let changes = [
        Change::Target(entry("a", "x")),
        Change::Target(entry("b", "y")),
    ];
    targets.replace_all(changes.iter(), now, None);
    targets
}

#[test]
fn domains_are_evacuated_restored_and_evacuated_again() {
    let state =
        Evacuations::default().with_changes(5, &[evacuated(3, "x"), evacuated(5, "y")], false);
    assert_eq!(domains(&state), ["x", "y"]);
    let state = state.with_changes(7, &[restored(7, "x")], false);
    assert_eq!(domains(&state), ["y"]);
    let state = state.with_changes(9, &[restored(8, "y"), evacuated(9, "x")], false);
    assert_eq!(domains(&state), ["x"]);
}

#[test]
fn a_snapshot_restores_the_domains_it_does_not_contain() {
    let state = Evacuations::default().with_changes(5, &[evacuated(5, "x")], false);
    let state = state.with_changes(20, &[evacuated(12, "y")], true);
    assert_eq!(domains(&state), ["y"]);
}

#[test]
fn an_older_state_does_not_replace_a_newer_one() {
    let old = Evacuations::default().with_changes(5, &[evacuated(5, "x")], false);
    let new = old.with_changes(6, &[restored(6, "x")], false);
    assert!(new.is_newer_than(&old));
    assert!(!old.is_newer_than(&new) && !new.is_newer_than(&new));
}

#[test]
fn repeated_changes_lead_to_the_same_state() {
    let changes = [evacuated(5, "x"), restored(6, "x"), evacuated(8, "y")];
    let state = Evacuations::default().with_changes(8, &changes, false);
    assert_eq!(
        state.with_changes(9, &changes, false).domains(),
        state.domains()
    );
}

#[test]
fn a_target_of_an_evacuated_domain_gets_no_new_requests() {
    let now = Instant::now();
    let mut targets = two_domains(now);
    let state = Evacuations::default().with_changes(1, &[evacuated(1, "x")], false);
    targets.set_evacuated(state.domains(), now);
    assert_eq!(available_ids(&targets, now), ["b"]);
    // Nor does a target that is added later.
    targets.apply(&Change::Target(entry("c", "x")), now, None);
    assert_eq!(available_ids(&targets, now), ["b"]);
    let state = state.with_changes(2, &[evacuated(2, "y")], false);
    targets.set_evacuated(state.domains(), now);
    assert!(available_ids(&targets, now).is_empty());
    targets.set_evacuated(Evacuations::default().domains(), now);
    assert_eq!(available_ids(&targets, now), ["a", "b", "c"]);
}

#[test]
fn targets_may_be_cold_after_an_evacuation() {
    let now = Instant::now();
    let mut targets = two_domains(now);
    assert!(!is_cold(&targets, "a", now));
    let state = Evacuations::default().with_changes(1, &[evacuated(1, "x")], false);
    targets.set_evacuated(state.domains(), now);
    let restored_at = later(now, 9_000);
    targets.set_evacuated(Evacuations::default().domains(), restored_at);
    assert!(is_cold(&targets, "a", later(restored_at, START_MS - 1)));
    assert!(!is_cold(&targets, "a", later(restored_at, START_MS)));
    assert!(!is_cold(&targets, "b", restored_at));
}

#[test]
fn a_target_reports_itself_cold() {
    let now = Instant::now();
    let mut targets = two_domains(now);
    let reports = |cold_ms| {
        Change::Target(TargetEntry {
            cold_ms,
            ..entry("a", "x")
        })
    };
    targets.apply(&reports(2_000), now, None);
    assert!(is_cold(&targets, "a", later(now, 1_999)));
    assert!(!is_cold(&targets, "a", later(now, 2_000)));
    targets.apply(&reports(0), later(now, 1_000), None);
    assert!(!is_cold(&targets, "a", later(now, 1_000)));
}

#[test]
fn a_returning_or_new_target_may_be_cold() {
    let now = Instant::now();
    let mut targets = two_domains(now);
    targets.apply(&Change::Removed(TargetId("a".into())), now, None);
    let returned_at = later(now, 4_000);
    targets.apply(&Change::Target(entry("a", "x")), returned_at, None);
    assert!(is_cold(&targets, "a", returned_at));
    targets.apply(&Change::Target(entry("new", "x")), returned_at, None);
    assert!(is_cold(&targets, "new", later(returned_at, START_MS - 1)));
    assert!(!is_cold(&targets, "new", later(returned_at, START_MS)));
}
