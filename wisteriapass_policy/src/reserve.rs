//! Slots kept free for interactive work.
//!
//! Answers a burst: standard and batch work of the same burst would take every slot for seconds,
//! and the engine does not stop what runs, so interactive work would wait for slots however high
//! its priority (`loads --pattern burst --without reserve`). The need is the interactive rate times
//! its length (Little's law).
//!
//! In steady load nothing is kept: interactive work takes what comes free next anyway, and what is
//! kept beyond its ups and downs stands idle. In a burst the whole need and more is kept, because a
//! slot given to a draft is gone for seconds. One router sees few requests a
//! second, so a burst is told from chance by all classes' arrivals: more than twice the remembered
//! rate and some arrivals on top. It ends when the arrivals are near the remembered rate again.

use crate::{PolicyConfig, Time};

/// Time over which arrivals are counted to find a burst, in seconds.
const SHORT_TERM_S: f64 = 0.5;
/// Arrivals that begin a burst: this many times the expected number, and some on top.
const BURST_START: (f64, f64) = (2.0, 3.0);
/// Arrivals that end a burst, likewise.
const BURST_END: (f64, f64) = (1.2, 1.0);

/// Work offered to one pool by this router.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct InteractiveReserve {
    /// Arrivals of all classes, over a short and a long time.
    short_term: f64,
    long_term: f64,
    /// Slots that interactive work needs by the long time's arrivals.
    need: f64,
    in_burst: bool,
    updated_at: Time,
}

impl InteractiveReserve {
    /// Counts offered work; for interactive work its length in slot-seconds, else zero.
    pub(crate) fn record_arrival(&mut self, now: Time, slot_secs: f64, cfg: &PolicyConfig) {
        self.decay(now, cfg);
        self.short_term += 1.0;
        self.long_term += SHORT_TERM_S / cfg.reserve_memory_s;
        self.need += slot_secs / cfg.reserve_memory_s;
        self.update_burst_state();
    }

    /// Returns the slots to keep for this router's interactive work.
    pub(crate) fn slots(&mut self, now: Time, cfg: &PolicyConfig) -> f64 {
        self.decay(now, cfg);
        self.update_burst_state();
        if self.in_burst {
            let rise = self.short_term / self.long_term.max(1e-3);
            return self.need * rise.max(1.0) * cfg.reserve_burst;
        }
        0.0
    }

    /// Decides whether this is a burst.
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
