//! Detects whether a router gets too little processor time for its load.
//!
//! Handles callers that load a small VM beyond its CPU, and VMs whose host is busy: each task of the
//! router then waits behind all others, so every timer fires late and every answer is read late, while
//! its peers are well. The delay is measured by a timer alone and says nothing about peers or links.
//! The shortest of several consecutive delays counts, since a single long one may be a pause.

/// How often the tasks of a request wait behind all others before its answer begins: those of a call,
/// and when the connection, the request and its body are read.
const WAITS_PER_REQUEST: u64 = 6;

/// Number of measurements considered.
const SAMPLES: usize = 3;

/// Delay from which a router is late, in milliseconds; of the order of the round trips that peers
/// are allowed.
const LATE_MS: u64 = 50;

/// Delay below which a router is on time again, in milliseconds.
const ON_TIME_MS: u64 = 20;

/// Delay of a timer that is usual on an idle VM, in milliseconds.
const USUAL_DELAY_MS: u64 = 20;

/// How often the tasks of a call wait behind all others before its answer is read: when they send,
/// when the answer arrives, and when it is handed on.
const WAITS_PER_CALL: u64 = 4;

/// Longest additional wait after one timer, in milliseconds. A single pause of the process delays a
/// timer as well, and a peer may have died meanwhile.
const MAX_WAIT_PER_TIMER_MS: u64 = 500;

/// Longest total of the additional waits for one answer, in milliseconds.
const MAX_TOTAL_WAIT_MS: u64 = 2_000;

/// Returns how much longer to wait for an answer whose timeout fired late, in milliseconds: the answer
/// may be there, behind the same tasks. `waited_ms` is the total of the earlier additional waits.
pub fn additional_wait_ms(timer_delay_ms: u64, waited_ms: u64) -> u64 {
    if timer_delay_ms < USUAL_DELAY_MS {
        return 0;
    }
    let wait_ms = timer_delay_ms.saturating_mul(WAITS_PER_CALL);
    let left_ms = MAX_TOTAL_WAIT_MS.saturating_sub(waited_ms);
    wait_ms.min(MAX_WAIT_PER_TIMER_MS).min(left_ms)
}

/// Recent delays of a router's timers.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoopDelay {
    samples: [u64; SAMPLES],
    next: usize,
    is_late: bool,
}

impl LoopDelay {
    /// Records how late a timer fired, in milliseconds; returns whether that changed
    /// [`is_late`](Self::is_late).
    pub fn record(&mut self, delay_ms: u64) -> bool {
        self.samples[self.next] = delay_ms;
        self.next = (self.next + 1) % SAMPLES;
        let threshold = if self.is_late { ON_TIME_MS } else { LATE_MS };
        let is_late = self.delay_ms() >= threshold;
        std::mem::replace(&mut self.is_late, is_late) != is_late
    }

    /// Returns the delay that every recent timer had, in milliseconds.
    pub fn delay_ms(&self) -> u64 {
        self.samples.into_iter().min().unwrap_or_default()
    }

    /// Returns whether a request that arrives now cannot begin its answer within its latency goal, in
    /// milliseconds.
    ///
    /// While requests wait, they time out and are sent again, which costs more processor time than
    /// answering them. Refusing new ones at once keeps the others in time, and another router can
    /// serve them.
    pub fn is_too_late_for(&self, latency_goal_ms: u64) -> bool {
        self.is_late && self.delay_ms().saturating_mul(WAITS_PER_REQUEST) >= latency_goal_ms
    }

    /// Returns whether the router gets too little processor time.
    pub fn is_late(&self) -> bool {
        self.is_late
    }
}
