//! Measures the pauses that a target makes between the events of a stream.

use crate::prelude::*;

/// Share of a pause for which this router has to have waited for the target. If it waited for the
/// client in the meantime, the pause says nothing of the target.
const MIN_WAITED_SHARE: f64 = 0.8;

/// Pauses between the events of one run at a target.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventPauses {
    last_event_at: Option<Instant>,
    /// Since when this router has been waiting for the target.
    waiting_since: Option<Instant>,
}

impl EventPauses {
    /// Records that this router waits for the target from now on, or goes on waiting.
    pub fn begin_wait(&mut self, now: Instant) {
        self.waiting_since.get_or_insert(now);
    }

    /// Records that events arrived; returns the pause before them, in milliseconds, if it was the
    /// target's.
    pub fn end(&mut self, events: u64, now: Instant) -> Option<f64> {
        if events == 0 {
            return None;
        }
        let last_event_at = self.last_event_at.replace(now)?;
        let waiting_since = self.waiting_since.take()?;
        let pause = now - last_event_at;
        let waited = now - waiting_since;
        let is_of_target = waited >= pause.mul_f64(MIN_WAITED_SHARE);
        is_of_target.then_some(pause.as_secs_f64() * 1_000.0)
    }
}
