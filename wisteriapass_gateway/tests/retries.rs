//! The bound on retries holds for all routers together, in any window.

use std::time::Duration;

use quickcheck_macros::quickcheck;
use tokio::time::Instant;
use wisteriapass_gateway::{Bounds, RetryBudget};

const BOUNDS: Bounds = Bounds {
    grace_ms: 8_000,
    retry_ratio: 0.2,
    retry_slack: 50.0,
    retry_window_ms: 10_000,
    cold_overshoot: 1.0,
    cold_slack: 0.0,
};

/// Simulates requests that all need a retry; returns the times of requests and of retries.
fn simulate(routers: usize, gaps: &[u8], start: Instant) -> (Vec<u64>, Vec<u64>) {
    let mut buckets: Vec<RetryBudget> = (0..routers)
        .map(|_| RetryBudget::new(&BOUNDS, start))
        .collect();
    let (mut now_ms, mut requests, mut retries) = (0, Vec::new(), Vec::new());
    for (i, gap) in gaps.iter().cycle().take(1_500).enumerate() {
        now_ms += u64::from(gap % 16);
        let now = start + Duration::from_millis(now_ms);
        let bucket = &mut buckets[(i + usize::from(*gap)) % routers];
        bucket.record_request(routers);
        requests.push(now_ms);
        if bucket.try_take(now, routers) {
            retries.push(now_ms);
        }
    }
    (requests, retries)
}

fn in_window(times: &[u64], from: u64) -> f64 {
    let window = from..from + BOUNDS.retry_window_ms;
    times.iter().filter(|t| window.contains(t)).count() as f64
}

#[quickcheck]
fn no_window_exceeds_the_bound(routers: u8, gaps: Vec<u8>) -> bool {
    if gaps.is_empty() {
        return true;
    }
    let routers = usize::from(routers % 30) + 1;
    let (requests, retries) = simulate(routers, &gaps, Instant::now());
    retries.iter().all(|from| {
        let most = BOUNDS.retry_ratio * in_window(&requests, *from) + BOUNDS.retry_slack;
        in_window(&retries, *from) <= most
    })
}

#[test]
fn most_of_the_bound_can_be_used() {
    let (requests, retries) = simulate(5, &[5], Instant::now());
    let share = retries.len() as f64 / requests.len() as f64;
    assert!(share > 0.15, "{share}");
}
