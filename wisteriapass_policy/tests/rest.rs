//! Rest that targets ask for.

use quickcheck_macros::quickcheck;
use wisteriapass_policy::rest::{rest_ms, retry_after_ms};

/// Longest time for which a mistaken statement may take a target out of service, in milliseconds.
const LONGEST_MS: u64 = 600_000;

/// Remaining rest of the target that is back first, in milliseconds.
const FIRST_BACK_MS: u64 = 3_000;

/// Number of callers that are refused together.
const CALLERS: u32 = 100;

/// Width of the intervals in which their returns are counted, in milliseconds.
const INTERVAL_MS: u64 = 100;

#[quickcheck]
fn a_target_rests_as_long_as_it_asked_for_but_not_for_ever(asked_ms: u64) -> bool {
    let rest_ms = rest_ms(asked_ms);
    rest_ms == asked_ms || asked_ms > LONGEST_MS && rest_ms == LONGEST_MS
}

/// Guards against callers that are refused together and come back together.
#[test]
fn callers_return_to_the_first_target_in_the_same_moment() {
    let position = |caller| f64::from(caller) / f64::from(CALLERS);
    let returns = (0..CALLERS).map(|caller| retry_after_ms(FIRST_BACK_MS, position(caller)));
    let returns: Vec<u64> = returns.collect();
    assert!(returns.iter().all(|at| *at >= FIRST_BACK_MS));
    let within = |from: &u64| {
        let interval = *from..from + INTERVAL_MS;
        returns.iter().filter(|at| interval.contains(at)).count()
    };
    let most = returns.iter().map(within).max();
    assert!(most <= Some(CALLERS as usize / 5), "{most:?}");
}
