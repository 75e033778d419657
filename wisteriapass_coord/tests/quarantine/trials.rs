//! Trials of suspects: one copy in flight, until it ends or its deadline passes.

use std::collections::HashMap;

use quickcheck::{Arbitrary, Gen};
use quickcheck_macros::quickcheck;
use wisteriapass_coord::quarantine::{
    Admission, MAX_TRIAL_MS, MAX_TRIALS, TRIAL_PAUSE_MS, TrialEnd, Trials,
};

use super::request;

#[test]
fn one_copy_is_in_flight_until_it_ends() {
    let mut trials = Trials::default();
    assert_eq!(trials.begin(0, request(1), 10, 5_000), Admission::Granted);
    assert_eq!(trials.begin(1, request(1), 11, 5_000), Admission::Refused);
    assert_eq!(trials.begin(1, request(2), 11, 5_000), Admission::Granted);
    assert!(trials.is_taken(2, &request(1)));
    trials.end(2, request(1), 10, TrialEnd::Over);
    assert!(!trials.is_taken(2, &request(1)));
    assert_eq!(trials.begin(2, request(1), 11, 5_000), Admission::Granted);
}

// The answer to the first call may have been lost.
#[test]
fn a_repeated_call_gets_the_same_trial() {
    let mut trials = Trials::default();
    assert_eq!(trials.begin(0, request(1), 10, 1_000), Admission::Granted);
    assert_eq!(trials.begin(500, request(1), 10, 9_000), Admission::Granted);
    assert_eq!(trials.len(), 1);
    // It is not prolonged by being repeated.
    assert_eq!(
        trials.begin(1_000, request(1), 11, 9_000),
        Admission::Granted
    );
}

#[test]
fn a_trial_ends_at_its_deadline() {
    let mut trials = Trials::default();
    trials.begin(0, request(1), 10, 300);
    assert!(trials.is_taken(299, &request(1)));
    assert!(!trials.is_taken(300, &request(1)));
    assert_eq!(trials.begin(300, request(1), 11, 900), Admission::Granted);
}

#[test]
fn a_deadline_is_capped() {
    let mut trials = Trials::default();
    trials.begin(5, request(1), 10, u64::MAX);
    assert!(trials.is_taken(4 + MAX_TRIAL_MS, &request(1)));
    assert!(!trials.is_taken(5 + MAX_TRIAL_MS, &request(1)));
}

#[test]
fn a_late_end_of_another_copy_ends_nothing() {
    let mut trials = Trials::default();
    trials.begin(0, request(1), 10, 300);
    trials.begin(300, request(1), 11, 900);
    for end in [TrialEnd::Over, TrialEnd::TargetLost] {
        trials.end(310, request(1), 10, end);
        assert_eq!(trials.begin(310, request(1), 12, 900), Admission::Refused);
    }
    trials.end(310, request(2), 10, TrialEnd::Over);
    assert_eq!(trials.begin(310, request(1), 11, 900), Admission::Granted);
}

#[test]
fn no_trial_begins_right_after_a_target_died() {
    let mut trials = Trials::default();
    trials.begin(0, request(1), 10, 5_000);
    trials.end(100, request(1), 10, TrialEnd::TargetLost);
    let until = 100 + TRIAL_PAUSE_MS;
    for id in [10, 11] {
        let admission = trials.begin(until - 1, request(1), id, 5_000);
        assert_eq!(admission, Admission::Refused);
    }
    // Its end may be told twice.
    trials.end(200, request(1), 10, TrialEnd::Over);
    assert!(trials.is_taken(until - 1, &request(1)));
    let admission = trials.begin(until, request(1), 11, 5_000);
    assert_eq!(admission, Admission::Granted);
}

#[test]
fn a_full_table_refuses_until_trials_end() {
    let mut trials = Trials::default();
    for n in 0..2 * MAX_TRIALS as u32 {
        trials.begin(0, request(n), 1, 1_000);
    }
    assert_eq!(trials.len(), MAX_TRIALS);
    let next = request(3 * MAX_TRIALS as u32);
    assert_eq!(trials.begin(999, next, 1, 5_000), Admission::Refused);
    assert_eq!(trials.begin(1_000, next, 1, 5_000), Admission::Granted);
    assert_eq!(trials.len(), 1);
    trials.end(1_001, next, 1, TrialEnd::Over);
    assert!(trials.is_empty());
}

/// One step of a history of trials.
#[derive(Clone, Debug)]
enum Step {
    Begin { request: u32, id: u64, ms: u64 },
    End { request: u32, id: u64, died: bool },
    Wait { ms: u64 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut below = |n: u64| u64::arbitrary(g) % n;
        let (request, id) = (below(2) as u32, below(4));
        match below(4) {
            0 | 1 => Self::Begin {
                request,
                id,
                ms: below(1_000),
            },
            2 => Self::End {
                request,
                id,
                died: below(2) == 0,
            },
            _ => Self::Wait { ms: below(600) },
        }
    }
}

#[quickcheck]
fn two_copies_never_have_the_trial_of_one_request(steps: Vec<Step>) {
    let mut trials = Trials::default();
    let mut now = 0;
    // The copy in flight of each request, and its deadline.
    let mut in_flight: HashMap<u32, (u64, u64)> = HashMap::new();
    for step in steps {
        match step {
            Step::Begin { request: n, id, ms } => {
                let admission = trials.begin(now, request(n), id, now + ms);
                let current = in_flight.get(&n).filter(|(_, until)| now < *until);
                match (admission, current) {
                    (Admission::Granted, Some((other, _))) => assert_eq!(*other, id),
                    (Admission::Granted, None) => {
                        in_flight.insert(n, (id, now + ms));
                    }
                    (Admission::Refused, _) => {}
                }
            }
            Step::End {
                request: n,
                id,
                died,
            } => {
                let end = if died {
                    TrialEnd::TargetLost
                } else {
                    TrialEnd::Over
                };
                trials.end(now, request(n), id, end);
                if in_flight.get(&n).is_some_and(|(current, _)| *current == id) {
                    in_flight.remove(&n);
                }
            }
            Step::Wait { ms } => now += ms,
        }
    }
}
