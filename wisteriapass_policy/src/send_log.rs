//! Times at which a router sent requests to a target.

use std::collections::VecDeque;

use crate::Time;

/// Time for which requests are recorded, in milliseconds; no quota has a longer window.
pub(crate) const MAX_WINDOW_MS: u64 = 10_000;

/// Times of the latest requests that one router sent to a target.
#[derive(Clone, Debug, Default)]
pub struct SendLog {
    sent: VecDeque<Time>,
}

impl SendLog {
    /// Returns whether one more request stays within a quota for the last `window_ms`, at most
    /// 10,000.
    pub fn may_send(&self, now: Time, window_ms: u64, quota: usize) -> bool {
        let recent = self.sent.iter().rev();
        let recent = recent.take_while(|at| now.millis_since(**at) < window_ms);
        recent.take(quota).count() < quota
    }

    /// Records a request sent now.
    pub fn record(&mut self, now: Time) {
        let has_expired = |at: &Time| now.millis_since(*at) >= MAX_WINDOW_MS;
        while self.sent.front().is_some_and(has_expired) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
