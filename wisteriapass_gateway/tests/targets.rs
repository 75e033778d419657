//! Which targets may get new work, as their entries come and go.

use std::time::Duration;

use tokio::time::Instant;
use wisteriapass_gateway::{Change, StoreLiveness, TargetEntry, TargetId, Targets};

const SERVICE: &str = "s";

fn entry(id: &str) -> TargetEntry {
    TargetEntry {
        id: TargetId(id.into()),
        service: SERVICE.into(),
        address: ([127, 0, 0, 1], 9).into(),
        failure_domain: "z".into(),
        slots: 4,
        draining: false,
        started_ms: Some(1),
        cold_ms: 0,
    }
}

fn open(targets: &Targets, now: Instant) -> Vec<String> {
    let open = targets.available(SERVICE, now);
    let mut names: Vec<String> = open.iter().map(|(_, t)| t.entry.id.0.clone()).collect();
    names.sort();
    names
}

fn later(now: Instant, ms: u64) -> Instant {
    now + Duration::from_millis(ms)
}

#[test]
fn an_entry_that_goes_is_closed_at_once() {
    let (mut targets, now) = (Targets::default(), Instant::now());
    targets.apply(&Change::Target(entry("a")), now, None);
    assert_eq!(open(&targets, now), ["a"]);
    targets.apply(&Change::Removed(TargetId("a".into())), now, None);
    assert!(open(&targets, now).is_empty());
}

#[test]
fn an_entry_that_lapsed_in_an_outage_has_two_seconds_to_come_back() {
    let (mut targets, now) = (Targets::default(), Instant::now());
    for id in ["a", "b"] {
        targets.apply(&Change::Target(entry(id)), now, None);
        targets.apply(
            &Change::Removed(TargetId(id.into())),
            later(now, 50),
            Some(now),
        );
    }
    assert_eq!(open(&targets, later(now, 1_900)), ["a", "b"]);
    targets.apply(&Change::Target(entry("a")), later(now, 1_900), Some(now));
    assert_eq!(open(&targets, later(now, 2_500)), ["a"]);
}

#[test]
fn a_call_that_fails_behind_a_return_makes_no_second_return() {
    let (liveness, now) = (StoreLiveness::default(), Instant::now());
    liveness.record_answer(now);
    liveness.record_failure();
    let back = later(now, 9_000);
    liveness.record_answer(back);
    assert_eq!(liveness.recovered_at(), Some(back));
    // A call that was under way since before fails now, and the next one is answered.
    liveness.record_failure();
    liveness.record_answer(later(back, 420));
    assert_eq!(liveness.recovered_at(), Some(back));
}

// A target whose entry was removed got a request 2,009 ms later, 2,000 ms are allowed. Nothing had
// been wrong with the service for three seconds, yet three of four routers took the removal for one
// that may come back, as behind an outage: where no entry changes, a watch is answered every 1.8 s,
// and an answer behind 1.5 s without one counted as the service's return.
//
//     Entry gone. target=i-aea372d55a lapsed=true
#[test]
fn a_quiet_time_is_no_outage() {
    let (liveness, now) = (StoreLiveness::default(), Instant::now());
    liveness.record_answer(now);
    liveness.record_answer(later(now, 1_800));
    assert_eq!(liveness.recovered_at(), None);
    liveness.record_failure();
    liveness.record_answer(later(now, 3_700));
    assert_eq!(liveness.recovered_at(), None, "one connection was reset");
}

#[test]
fn an_entry_that_goes_later_than_that_is_gone() {
    let (mut targets, now) = (Targets::default(), Instant::now());
    targets.apply(&Change::Target(entry("a")), now, None);
    let back = later(now, 3_000);
    targets.apply(&Change::Removed(TargetId("a".into())), back, Some(now));
    assert!(open(&targets, back).is_empty());
}

#[test]
fn a_draining_target_stays_closed_when_its_entry_lapses() {
    let (mut targets, now) = (Targets::default(), Instant::now());
    targets.apply(&Change::Target(entry("a")), now, None);
    let mut leaving = entry("a");
    leaving.draining = true;
    targets.apply(&Change::Target(leaving), now, None);
    targets.apply(&Change::Removed(TargetId("a".into())), now, Some(now));
    assert!(open(&targets, now).is_empty());
}

#[test]
fn a_target_that_starts_anew_begins_with_nothing() {
    let (mut targets, now) = (Targets::default(), Instant::now());
    targets.apply(&Change::Target(entry("a")), now, None);
    targets.available(SERVICE, now)[0].1.running.set(3);
    let mut reborn = entry("a");
    reborn.started_ms = Some(2);
    targets.apply(&Change::Target(reborn), now, None);
    let open = targets.available(SERVICE, now);
    assert_eq!(open.len(), 1);
    assert_eq!(open[0].1.running.get(), 0);
}

#[test]
fn a_whole_state_closes_what_it_does_not_name() {
    let (mut targets, now) = (Targets::default(), Instant::now());
    for id in ["a", "b", "c"] {
        targets.apply(&Change::Target(entry(id)), now, None);
    }
    let state = [
        Change::Target(entry("a")),
        Change::Invalid(TargetId("b".into())),
    ];
    targets.replace_all(state.iter(), now, None);
    assert_eq!(open(&targets, now), ["a"]);
}
