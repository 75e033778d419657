//! Slots kept free for interactive work.
//!
//! Answers a burst: standard and batch work of the same burst would take every slot for seconds,
//! and the engine does not stop what runs, so interactive work would wait for slots however high
//! its priority (`loads --pattern burst --without reserve`). The need is the measured interactive
//! rate times its length (Little's law). The rate follows a rise within a few arrivals and forgets
//! over seconds, because slots given away are gone for seconds while kept ones are lost only for
//! as long as they stay empty.

use crate::{PolicyConfig, Time};

/// Time over which arrivals are counted on the way up, in seconds.
const RISE_S: f64 = 0.5;

/// Interactive work offered to one pool by this router.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reserve {
    fast: f64,
    slow: f64,
    at: Time,
}

impl Reserve {
    /// Counts offered interactive work, in slot-seconds.
    pub(crate) fn offered(&mut self, now: Time, slot_secs: f64, cfg: &PolicyConfig) {
        self.decay(now, cfg);
        self.fast += slot_secs / RISE_S;
        self.slow += slot_secs / cfg.reserve_memory_s;
    }

    /// Returns the slots that this router's interactive work needs.
    pub(crate) fn need(&self, now: Time, cfg: &PolicyConfig) -> f64 {
        let mut current = *self;
        current.decay(now, cfg);
        current.slow.max(current.fast.min(2.0 * current.slow)) * cfg.reserve_margin
    }

    fn decay(&mut self, now: Time, cfg: &PolicyConfig) {
        let secs = now.secs_since(self.at);
        self.fast *= (-secs / RISE_S).exp();
        self.slow *= (-secs / cfg.reserve_memory_s).exp();
        self.at = self.at.max(now);
    }
}
