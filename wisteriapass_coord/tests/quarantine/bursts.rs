//! Copies of one request that arrive at the same moment.

use wisteriapass_coord::quarantine::{Admission, Fingerprint, Quarantine, TrialEnd, Trials};

use super::{MINUTE, POISON, SECOND, is_banned, kill, request, target};

/// Copies per burst.
const BURST: u64 = 6;

/// Time for which a copy runs before it crashes its target, in milliseconds.
const RUN_MS: u64 = 20;

/// A router whose copies each crash the target that runs them.
struct Fleet {
    table: Quarantine,
    trials: Trials,
    sent: u64,
}

impl Fleet {
    fn new() -> Self {
        Self {
            table: Quarantine::new(1),
            trials: Trials::default(),
            sent: 0,
        }
    }

    /// Asks for each of the copies that arrive at one moment whether it may be sent, and records the
    /// deaths of the targets of those that are; returns how many these are.
    fn burst(&mut self, now: u64, poison: Fingerprint) -> u64 {
        let copies = self.sent..self.sent + BURST;
        let sent: Vec<u64> = copies
            .filter(|id| self.may_send(now, poison, *id))
            .collect();
        for (died_at, id) in (now + RUN_MS..).zip(&sent) {
            self.table.record_death(died_at, poison, target(*id));
            self.trials.end(died_at, poison, *id, TrialEnd::TargetLost);
        }
        self.sent += sent.len() as u64;
        sent.len() as u64
    }

    fn may_send(&mut self, now: u64, poison: Fingerprint, id: u64) -> bool {
        let verdict = self.table.verdict(now, &poison);
        if verdict.banned_until().is_some() {
            return false;
        }
        if !verdict.needs_trial() {
            return true;
        }
        let admission = self.trials.begin(now, poison, id, now + MINUTE);
        admission == Admission::Granted
    }
}

// Copies that arrive in a burst crash many targets simultaneously, which counts as one event each
// time.
#[test]
fn a_request_whose_copies_come_in_bursts_stops_reaching_targets() {
    let mut fleet = Fleet::new();
    assert_eq!(fleet.burst(0, request(POISON)), BURST);
    let bursts = 1..4;
    let sent_after: u64 = bursts
        .map(|burst| fleet.burst(burst * 4_000, request(POISON)))
        .sum();
    assert!(sent_after <= 3, "{sent_after} sent behind the third end");
    assert!(is_banned(&fleet.table, 12 * SECOND, &request(POISON)));
}

// The death of a trial's target right after a burst belongs to the same event.
#[test]
fn bursts_in_rapid_sequence_stop_reaching_targets() {
    for interval in [30, 50, 100, 200, 499, 500, 501, 1_000] {
        let mut fleet = Fleet::new();
        assert_eq!(fleet.burst(0, request(POISON)), BURST);
        let bursts = 1..200;
        let sent_after: u64 = bursts
            .map(|burst| fleet.burst(burst * interval, request(POISON)))
            .sum();
        assert!(sent_after <= 3, "{sent_after} sent, each {interval} ms");
        assert!(is_banned(&fleet.table, 2_000, &request(POISON)));
    }
}

#[test]
fn a_request_with_fewer_than_two_deaths_needs_no_trial() {
    let mut table = Quarantine::new(1);
    assert!(!table.verdict(0, &request(1)).needs_trial());
    kill(&mut table, request(1), &[(0, 1)]);
    assert!(!table.verdict(10, &request(1)).needs_trial());
    kill(&mut table, request(1), &[(700, 2)]);
    assert!(table.verdict(710, &request(1)).needs_trial());
    table.record_completion(720, request(1));
    assert!(!table.verdict(730, &request(1)).needs_trial());
}

// A ban's end lets copies in a burst through, each of which may crash a target.
#[test]
fn a_request_whose_ban_ended_needs_a_trial() {
    let mut fleet = Fleet::new();
    kill(
        &mut fleet.table,
        request(POISON),
        &[(0, 100), (600, 101), (1_200, 102)],
    );
    let ban_end = 1_200 + 5 * MINUTE;
    assert_eq!(fleet.burst(ban_end - 1, request(POISON)), 0);
    assert_eq!(fleet.burst(ban_end, request(POISON)), 1);
    assert_eq!(fleet.burst(ban_end + SECOND, request(POISON)), 0);
}

// All targets of a rack failed, each with the same harmless request in flight.
#[test]
fn a_harmless_suspect_is_cleared_by_its_trial() {
    let (mut table, mut trials) = (Quarantine::new(1), Trials::default());
    let rack: Vec<(u64, u64)> = (0..BURST).map(|n| (n, n)).collect();
    kill(&mut table, request(1), &rack);
    assert!(table.verdict(100, &request(1)).needs_trial());
    let first = trials.begin(100, request(1), 1, MINUTE);
    let second = trials.begin(100, request(1), 2, MINUTE);
    assert_eq!((first, second), (Admission::Granted, Admission::Refused));
    table.record_completion(300, request(1));
    trials.end(300, request(1), 1, TrialEnd::Over);
    assert!(!table.verdict(300, &request(1)).needs_trial());
}
