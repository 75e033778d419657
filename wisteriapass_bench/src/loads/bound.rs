//! What the pool can do at all with the offered requests.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::arrivals::Request;
use super::engine::slot_rate;
use super::pattern::{Pattern, SLOTS, TARGETS};
use super::{END_SECS, MEASURE_SECS, WARM_UP_SECS};

/// Step of the computation, in seconds.
const STEP_S: f64 = 0.01;

/// Work that is left of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Left {
    deadline_us: u64,
    place: usize,
}

/// Returns the most output tokens that can be generated within deadlines in what is measured.
///
/// The pool is taken as one server of all working slots' rate that knows each length, holds every
/// prefix, can switch between requests at no cost, and is credited for parts of answers. Working on
/// the earliest deadline first then wastes no capacity that any policy could use.
pub(super) fn tokens(pattern: Pattern, requests: &[Request]) -> f64 {
    let mut waiting: BinaryHeap<Reverse<Left>> = BinaryHeap::new();
    let mut left: Vec<f64> = requests.iter().map(Request::least_work).collect();
    let mut order: Vec<usize> = (0..requests.len()).collect();
    order.sort_by_key(|&r| requests[r].at);
    let mut arriving = order.into_iter().peekable();
    let mut done = 0.0;
    let begin = (WARM_UP_SECS * 1e6) as u64;
    let counted = begin..begin + (MEASURE_SECS * 1e6) as u64;
    for step in 0..(END_SECS / STEP_S) as u64 {
        let secs = step as f64 * STEP_S;
        let now = (secs * 1e6) as u64;
        while let Some(place) = arriving.next_if(|&r| requests[r].at.0 <= now) {
            let deadline_us = requests[place].deadline.0;
            waiting.push(Reverse(Left { deadline_us, place }));
        }
        let mut can = capacity(pattern, secs) * STEP_S;
        while let Some(&Reverse(first)) = waiting.peek() {
            if first.deadline_us <= now || left[first.place] <= 0.0 {
                waiting.pop();
                continue;
            }
            if can <= 0.0 {
                break;
            }
            let work = can.min(left[first.place]);
            let request = &requests[first.place];
            if counted.contains(&now) {
                done += work * f64::from(request.output) / request.least_work();
            }
            left[first.place] -= work;
            can -= work;
        }
    }
    done
}

/// Returns the pool's capacity at a time, in output tokens a second.
fn capacity(pattern: Pattern, secs: f64) -> f64 {
    let speed = |target: usize| {
        let fault = pattern.faults(target);
        if secs < fault.from { 1.0 } else { fault.speed }
    };
    let whole: f64 = (0..TARGETS).map(speed).sum();
    whole * f64::from(SLOTS) * slot_rate()
}
