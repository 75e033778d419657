//! Slots kept free for interactive work.
//!
//! Answers a burst: standard and batch work of the same burst would take every slot for seconds,
//! and the engine does not stop what runs, so interactive work would wait for slots however high
//! its priority (`loads --pattern burst --without reserve`). The need is the interactive rate times
//! its length (Little's law).
//!
//! In steady load a part of the need is kept: interactive work takes what comes free next anyway,
//! and whatever is kept beyond its ups and downs stands idle. In a burst the whole need and more is
//! kept, because a slot given to a draft is gone for seconds. One router sees few requests a
//! second, so a burst is told from chance by all classes' arrivals: more than twice the remembered
//! rate and some arrivals on top. It ends when the arrivals are near the remembered rate again.

use crate::{PolicyConfig, Time};

/// Time over which arrivals are counted to find a burst, in seconds.
const RISE_S: f64 = 0.5;
/// Arrivals that begin a burst: this many times the expected number, and some on top.
const BURST_BEGINS: (f64, f64) = (2.0, 3.0);
/// Arrivals that end a burst, likewise.
const BURST_ENDS: (f64, f64) = (1.2, 1.0);

/// Work offered to one pool by this router.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reserve {
    /// Arrivals of all classes, over a short and a long time.
    short: f64,
    long: f64,
    /// Slots that interactive work needs by the long time's arrivals.
    need: f64,
    bursting: bool,
    at: Time,
}

impl Reserve {
    /// Counts offered work; for interactive work its length in slot-seconds, else zero.
    pub(crate) fn offered(&mut self, now: Time, slot_secs: f64, cfg: &PolicyConfig) {
        self.decay(now, cfg);
        self.short += 1.0;
        self.long += RISE_S / cfg.reserve_memory_s;
        self.need += slot_secs / cfg.reserve_memory_s;
        self.judge();
    }

    /// Returns the slots to keep for this router's interactive work.
    pub(crate) fn slots(&mut self, now: Time, cfg: &PolicyConfig) -> f64 {
        self.decay(now, cfg);
        self.judge();
        if self.bursting {
            let rise = self.short / self.long.max(1e-3);
            return self.need * rise.max(1.0) * cfg.reserve_burst;
        }
        self.need * cfg.reserve_steady
    }

    /// Decides whether this is a burst.
    fn judge(&mut self) {
        let (times, more) = if self.bursting {
            BURST_ENDS
        } else {
            BURST_BEGINS
        };
        self.bursting = self.short > self.long * times + more;
    }

    fn decay(&mut self, now: Time, cfg: &PolicyConfig) {
        let secs = now.secs_since(self.at);
        self.short *= (-secs / RISE_S).exp();
        let slow = (-secs / cfg.reserve_memory_s).exp();
        self.long *= slow;
        self.need *= slow;
        self.at = self.at.max(now);
    }
}
