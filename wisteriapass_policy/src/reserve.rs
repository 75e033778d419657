//! Slots reserved for interactive work.
//!
//! Handles a burst: standard and batch requests of the same burst would occupy every slot for
//! seconds, and since the engine does not preempt running requests, interactive ones would wait for
//! slots whatever their priority (`loads --pattern burst --without reserve`). The need is the
//! arrival rate of interactive requests times their duration (Little's law).
//!
//! In steady load nothing is reserved: interactive requests take the next free slots anyway, and
//! slots reserved beyond their fluctuations would be idle. In a burst more than the whole need is
//! reserved, because a slot given to a draft is occupied for seconds. One router sees few requests
//! per second, so a burst is told from random fluctuation by the arrivals of all classes: more than
//! twice the long-term rate, plus some arrivals. It ends when arrivals are near the long-term rate
//! again.

use crate::{PolicyConfig, Time};

/// Time constant of the short-term arrivals that detect a burst, in seconds.
const SHORT_TERM_S: f64 = 0.5;
/// Arrivals that start a burst: a factor on the expected number, and an offset.
const BURST_START: (f64, f64) = (2.0, 3.0);
/// Arrivals below which a burst ends: a factor on the expected number, and an offset.
const BURST_END: (f64, f64) = (1.2, 1.0);

/// Work offered to one pool by this router.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct InteractiveReserve {
    /// Arrivals of all classes, as short-term and long-term averages.
    short_term: f64,
    long_term: f64,
    /// Slots needed by interactive work, from the long-term average.
    need: f64,
    in_burst: bool,
    updated_at: Time,
}

impl InteractiveReserve {
    /// Records offered work; `slot_secs` is its duration if it is interactive, else zero.
    pub(crate) fn record_arrival(&mut self, now: Time, slot_secs: f64, cfg: &PolicyConfig) {
        self.decay(now, cfg);
        self.short_term += 1.0;
        self.long_term += SHORT_TERM_S / cfg.reserve_memory_s;
        self.need += slot_secs / cfg.reserve_memory_s;
        self.update_burst_state();
    }

    /// Returns the number of slots to reserve for this router's interactive work.
    pub(crate) fn slots(&mut self, now: Time, cfg: &PolicyConfig) -> f64 {
        self.decay(now, cfg);
        self.update_burst_state();
        if self.in_burst {
            let rise = self.short_term / self.long_term.max(1e-3);
            return self.need * rise.max(1.0) * cfg.reserve_burst;
        }
        0.0
    }

    fn update_burst_state(&mut self) {
        let (factor, offset) = if self.in_burst {
            BURST_END
        } else {
            BURST_START
        };
        self.in_burst = self.short_term > self.long_term * factor + offset;
    }

    fn decay(&mut self, now: Time, cfg: &PolicyConfig) {
        let secs = now.secs_since(self.updated_at);
        self.short_term *= (-secs / SHORT_TERM_S).exp();
        let long_term_decay = (-secs / cfg.reserve_memory_s).exp();
        self.long_term *= long_term_decay;
        self.need *= long_term_decay;
        self.updated_at = self.updated_at.max(now);
    }
}
