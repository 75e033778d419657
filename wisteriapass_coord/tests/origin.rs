//! Which software version began a stream, with lost reports, restarts and versions that come and go.

use std::collections::BTreeSet;
use std::slice;

use quickcheck_macros::quickcheck;
use wisteriapass_coord::origin::{
    Knowledge, MAX_REPORTED, MAX_STREAM_MS, MAX_STREAMS, OriginTable, Software, StreamId,
    VersionHistory, VersionRecord, resolve,
};

/// Deadline of the streams of most tests, in milliseconds.
const DEADLINE: u64 = 10_000;

fn version(n: u8) -> Software {
    Software::new("engines", &format!("v{n}"))
}

fn stream(n: u64) -> StreamId {
    StreamId::new(Some("acme"), &n.to_le_bytes())
}

fn knowledge(origin: Option<u8>, possible: &[u8]) -> Knowledge {
    Knowledge {
        origin: origin.map(version),
        possible: possible.iter().copied().map(version).collect(),
        is_complete: true,
        is_fresh: true,
    }
}

fn record(versions: &[u8]) -> VersionRecord {
    VersionRecord {
        versions: versions.iter().copied().map(version).collect(),
    }
}

/// Sends everything that a peer lacks, and returns the sequence number that it knows then.
fn report(from: &OriginTable, to: &mut OriginTable, now: u64, mut seq: u64) -> u64 {
    while seq < from.seq() {
        let report = from.report_since(now, seq);
        to.merge(now, &report);
        seq = report.seq;
    }
    seq
}

#[test]
fn a_stream_of_another_account_has_another_id() {
    let of = |account| StreamId::new(account, b"a1");
    assert_ne!(of(Some("acme")), of(Some("other")));
    assert_ne!(of(Some("")), of(None));
    assert_ne!(
        StreamId::new(Some("a"), b"b1"),
        StreamId::new(Some("ab"), b"1")
    );
}

#[test]
fn a_stream_is_remembered_until_its_deadline() {
    let mut table = OriginTable::default();
    table.record(0, stream(1), &version(1), DEADLINE);
    assert_eq!(table.get(DEADLINE - 1, &stream(1)), Some(&version(1)));
    assert_eq!(table.get(DEADLINE, &stream(1)), None);
    let mut peer = OriginTable::default();
    report(&table, &mut peer, 4_000, 0);
    assert_eq!(peer.get(DEADLINE - 1, &stream(1)), Some(&version(1)));
    assert_eq!(peer.get(DEADLINE, &stream(1)), None);
}

#[test]
fn the_version_that_is_known_first_remains() {
    let mut table = OriginTable::default();
    table.record(0, stream(1), &version(1), DEADLINE);
    table.record(1, stream(1), &version(2), DEADLINE);
    assert_eq!(table.get(2, &stream(1)), Some(&version(1)));
}

#[test]
fn a_full_table_remembers_what_it_has_and_takes_more_later() {
    let mut table = OriginTable::default();
    for n in 0..=MAX_STREAMS as u64 {
        table.record(0, stream(n), &version(1), DEADLINE);
    }
    assert_eq!(table.len(), MAX_STREAMS);
    assert!(table.get(1, &stream(0)).is_some());
    assert!(table.get(1, &stream(MAX_STREAMS as u64)).is_none());
    table.record(DEADLINE, stream(u64::MAX), &version(1), 2 * DEADLINE);
    assert!(table.get(DEADLINE, &stream(u64::MAX)).is_some());
    assert_eq!(table.len(), 1);
}

#[test]
fn a_deadline_in_the_far_future_is_limited() {
    let mut table = OriginTable::default();
    table.record(0, stream(1), &version(1), u64::MAX);
    assert!(table.get(MAX_STREAM_MS, &stream(1)).is_none());
}

#[test]
fn reports_are_limited_and_repeat_nothing() {
    let mut table = OriginTable::default();
    for n in 0..=MAX_REPORTED as u64 {
        table.record(0, stream(n), &version((n % 3) as u8), DEADLINE);
    }
    let first = table.report_since(0, 0);
    assert_eq!(first.streams.len(), MAX_REPORTED);
    let second = table.report_since(0, first.seq);
    assert_eq!(second.streams.len(), 1);
    assert_eq!(second.seq, table.seq());
}

/// A peer knows all streams after any history of reports, some of which are lost or come twice, and of
/// restarts of the peer.
#[quickcheck]
fn a_peer_learns_all_streams(steps: Vec<(u8, u8)>) -> bool {
    let mut table = OriginTable::default();
    let mut peer = OriginTable::default();
    let mut acknowledged = 0;
    let mut count = 0;
    for (step, n) in steps {
        match step % 5 {
            0 | 1 => {
                table.record(0, stream(count), &version(n % 3), DEADLINE);
                count += 1;
            }
            2 => acknowledged = report(&table, &mut peer, 0, acknowledged),
            // The answer to a report is lost.
            3 => peer.merge(0, &table.report_since(0, acknowledged)),
            _ => {
                peer = OriginTable::default();
                acknowledged = 0;
            }
        }
    }
    report(&table, &mut peer, 0, acknowledged);
    (0..count).all(|n| peer.get(1, &stream(n)) == table.get(1, &stream(n)))
}

#[test]
fn a_remembered_stream_goes_on_at_its_version() {
    let unknown = knowledge(None, &[1, 2]);
    let known = knowledge(Some(2), &[1, 2]);
    assert_eq!(resolve(&known, 0, &[]), Some(version(2)));
    assert_eq!(
        resolve(&unknown, 2, &[unknown.clone(), known]),
        Some(version(2))
    );
}

#[test]
fn a_stream_that_nobody_remembers_goes_on_at_the_only_version() {
    let one = knowledge(None, &[1]);
    let two = knowledge(None, &[1, 2]);
    assert_eq!(resolve(&one, 1, slice::from_ref(&one)), Some(version(1)));
    assert_eq!(resolve(&two, 1, slice::from_ref(&two)), None);
    assert_eq!(resolve(&knowledge(None, &[]), 0, &[]), None);
}

/// Guards against a router that has not heard of a version yet.
#[test]
fn a_version_that_one_router_does_not_know_is_ignored() {
    let old = knowledge(None, &[1]);
    let new = knowledge(None, &[1, 2]);
    let restarted = knowledge(None, &[2]);
    assert_eq!(resolve(&old, 2, &[old.clone(), new]), None);
    assert_eq!(resolve(&restarted, 1, &[old]), None);
}

/// Guards against routers that are cut off, and miss a version that joined since.
#[test]
fn isolated_routers_rely_on_old_lists() {
    let isolated = Knowledge {
        is_fresh: false,
        ..knowledge(None, &[1])
    };
    let confirmed = knowledge(None, &[1]);
    assert_eq!(resolve(&isolated, 3, &[]), None);
    assert_eq!(resolve(&isolated, 0, &[]), None);
    assert_eq!(
        resolve(&isolated, 3, &[isolated.clone(), isolated.clone()]),
        None
    );
    // The list of another router was recent before the stream was asked for.
    assert_eq!(resolve(&isolated, 3, slice::from_ref(&confirmed)), None);
    assert_eq!(resolve(&confirmed, 3, &[]), Some(version(1)));
    // In an outage of the store no list is recent, and none can differ.
    assert_eq!(
        resolve(&isolated, 1, slice::from_ref(&isolated)),
        Some(version(1))
    );
}

/// Guards against routers that have just started, and know only what serves now.
#[test]
fn restarted_routers_take_the_only_version_for_the_first_one() {
    let restarted = Knowledge {
        is_complete: false,
        ..knowledge(None, &[2])
    };
    assert_eq!(resolve(&restarted, 1, slice::from_ref(&restarted)), None);
    assert_eq!(
        resolve(&restarted, 1, &[knowledge(None, &[2])]),
        Some(version(2))
    );
}

/// The result is what a router remembers, or the only version that any router knows.
#[quickcheck]
fn no_version_is_guessed(routers: Vec<(Option<u8>, Vec<u8>)>) -> bool {
    let all: Vec<Knowledge> = routers
        .iter()
        .map(|(origin, possible)| knowledge(origin.map(|n| n % 3), possible))
        .collect();
    let Some((own, answers)) = all.split_first() else {
        return true;
    };
    let Some(found) = resolve(own, answers.len(), answers) else {
        return true;
    };
    let origins: BTreeSet<_> = all.iter().filter_map(|k| k.origin.clone()).collect();
    let possible: BTreeSet<_> = all.iter().flat_map(|k| k.possible.clone()).collect();
    let expected = if origins.is_empty() {
        possible
    } else {
        origins
    };
    expected == BTreeSet::from([found])
}

#[test]
fn a_version_is_possible_for_a_while_after_it_is_gone() {
    let mut history = VersionHistory::default();
    assert!(history.observe(0, [("engines", "v1"), ("engines", "v1")].into_iter()));
    assert!(!history.has_several_versions(0));
    assert!(history.observe(1_000, [("engines", "v2"), ("plain", "v1")].into_iter()));
    let gone_at = 1_000 + MAX_STREAM_MS;
    assert!(history.has_several_versions(gone_at - 1));
    let both = [&version(1), &version(2)];
    assert_eq!(history.of_service(gone_at - 1, "engines")[..], both);
    assert_eq!(history.of_service(gone_at - 1, "plain").len(), 1);
    // Also where nothing changes that makes the history forget it.
    assert!(!history.has_several_versions(gone_at));
    assert_eq!(history.of_service(gone_at, "engines")[..], [&version(2)]);
    assert_eq!(
        history.updated_record(&record(&[1, 2])),
        VersionRecord {
            versions: [version(1), version(2), Software::new("plain", "v1")].into(),
        }
    );
    history.forget_expired(gone_at);
    assert_eq!(
        history.updated_record(&record(&[1, 2])),
        VersionRecord {
            versions: [version(2), Software::new("plain", "v1")].into(),
        }
    );
}

/// Guards against a version that is forgotten before this router has seen its first target.
#[test]
fn a_version_that_others_report_is_ignored() {
    let mut history = VersionHistory::default();
    history.observe(0, [("engines", "v1")].into_iter());
    history.learn(1, &version(2));
    history.observe(2, [("engines", "v1")].into_iter());
    assert!(history.has_several_versions(2));
    history.learn(3, &version(1));
    assert_eq!(history.updated_record(&record(&[])), record(&[1]));
}

#[test]
fn a_started_router_knows_the_versions_of_the_record() {
    let mut history = VersionHistory::default();
    history.observe(0, [("engines", "v2")].into_iter());
    assert!(!history.is_complete());
    history.merge(0, &record(&[1, 2]));
    assert!(history.is_complete());
    assert_eq!(history.of_service(0, "engines").len(), 2);
}

#[test]
fn the_record_gains_versions_that_serve_and_loses_those_that_expired() {
    let mut history = VersionHistory::default();
    history.observe(0, [("engines", "v1")].into_iter());
    history.observe(1, [("engines", "v2")].into_iter());
    let stored = record(&[1]);
    assert_eq!(history.updated_record(&stored), record(&[1, 2]));
    history.forget_expired(1 + MAX_STREAM_MS);
    assert_eq!(history.updated_record(&record(&[1, 2])), record(&[2]));
    // One that another router removed is not added again unless it serves.
    let mut other = VersionHistory::default();
    other.merge(0, &record(&[1, 2]));
    assert_eq!(other.updated_record(&record(&[2])), record(&[2]));
}

#[test]
fn a_record_survives_encoding_and_a_damaged_one_is_an_error() {
    let bytes = record(&[1, 2]).to_bytes();
    assert_eq!(VersionRecord::from_bytes(&bytes).unwrap(), record(&[1, 2]));
    assert_eq!(VersionRecord::from_bytes(&[]).unwrap(), record(&[]));
    assert!(VersionRecord::from_bytes(&bytes[1..]).is_err());
}
