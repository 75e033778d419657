//! Upper bound on what the pool can serve of the offered requests.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::arrivals::Request;
use super::engine::slot_rate;
use super::pattern::{Pattern, SLOTS, TARGETS};
use super::{END_SECS, MEASURE_SECS, WARM_UP_SECS};

/// Time step of the computation, in seconds.
const STEP_SECS: f64 = 0.01;

/// A request that has arrived, ordered by its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PendingRequest {
    deadline_us: u64,
    request: usize,
}

/// Returns an upper bound on the output tokens generated within deadlines while measuring.
///
/// The pool is modelled as a single server with the total rate of all working slots. It knows
/// each output length, has every prefix cached, switches between requests at no cost and gets
/// credit for partial answers. Under these assumptions, serving the earliest deadline first wastes
/// no capacity that any policy could use.
pub(super) fn max_output_tokens(pattern: Pattern, requests: &[Request]) -> f64 {
    let mut pending: BinaryHeap<Reverse<PendingRequest>> = BinaryHeap::new();
    let mut remaining: Vec<f64> = requests.iter().map(Request::min_work).collect();
    let mut by_arrival: Vec<usize> = (0..requests.len()).collect();
    by_arrival.sort_by_key(|&r| requests[r].arrives_at);
    let mut arrivals = by_arrival.into_iter().peekable();
    let mut tokens = 0.0;
    let measured_from = (WARM_UP_SECS * 1e6) as u64;
    let measured = measured_from..measured_from + (MEASURE_SECS * 1e6) as u64;
    for step in 0..(END_SECS / STEP_SECS) as u64 {
        let secs = step as f64 * STEP_SECS;
        let now = (secs * 1e6) as u64;
        while let Some(request) = arrivals.next_if(|&r| requests[r].arrives_at.0 <= now) {
            let deadline_us = requests[request].deadline.0;
            pending.push(Reverse(PendingRequest {
                deadline_us,
                request,
            }));
        }
        let mut available = capacity(pattern, secs) * STEP_SECS;
        while let Some(&Reverse(earliest)) = pending.peek() {
            if earliest.deadline_us <= now || remaining[earliest.request] <= 0.0 {
                pending.pop();
                continue;
            }
            if available <= 0.0 {
                break;
            }
            let work = available.min(remaining[earliest.request]);
            let request = &requests[earliest.request];
            if measured.contains(&now) {
                tokens += work * f64::from(request.output_tokens) / request.min_work();
            }
            remaining[earliest.request] -= work;
            available -= work;
        }
    }
    tokens
}

/// Returns the capacity of the pool at a time, in output tokens per second.
fn capacity(pattern: Pattern, secs: f64) -> f64 {
    let target_speed = |target: usize| {
        let fault = pattern.fault(target);
        if secs < fault.starts_at_secs {
            1.0
        } else {
            fault.speed
        }
    };
    let total_speed: f64 = (0..TARGETS).map(target_speed).sum();
    total_speed * f64::from(SLOTS) * slot_rate()
}
