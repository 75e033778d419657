//! The load patterns that are played.

use derive_more::{Display, Error};

use super::{MEASURE_SECS, WARM_UP_SECS};

/// Targets of the pool.
pub(super) const TARGETS: usize = 12;
/// Requests a target works on at once.
pub(super) const SLOTS: u32 = 16;
/// Tokens a target generates a second with all slots busy.
pub(super) const TOKENS_PER_S: u32 = 1_000;
/// Routers that decide each on its own.
pub(super) const ROUTERS: usize = 10;

/// Second at which a burst begins.
const BURST_AT: f64 = WARM_UP_SECS + 20.0;
/// Length of a burst, in seconds.
const BURST_SECS: f64 = 5.0;

/// A pattern of load.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Pattern {
    /// Ten times the rate for five seconds.
    #[display("burst")]
    Burst,
    /// Two accounts and one prefix take most of the load.
    #[display("hot")]
    Hot,
    /// One target becomes ten times slower.
    #[display("slow")]
    Slow,
    /// One target takes work and never answers.
    #[display("silent")]
    Silent,
    /// Long work among short.
    #[display("long-short")]
    LongShort,
    /// One and a half times the capacity throughout.
    #[display("saturation")]
    Saturation,
    /// Load reports lag by two seconds and a third of them is lost.
    #[display("lagging")]
    Lagging,
    /// All at once.
    #[display("all")]
    All,
}

/// No pattern or policy has this name.
#[derive(Clone, Debug, Display, Error)]
#[display("no such name; `loads --help` lists them")]
pub struct UnknownName;

impl std::str::FromStr for Pattern {
    type Err = UnknownName;

    fn from_str(name: &str) -> Result<Self, UnknownName> {
        let known = Self::ALL.into_iter().find(|p| p.to_string() == name);
        known.ok_or(UnknownName)
    }
}

impl Pattern {
    /// All patterns.
    pub const ALL: [Self; 8] = [
        Self::Burst,
        Self::Hot,
        Self::Slow,
        Self::Silent,
        Self::LongShort,
        Self::Saturation,
        Self::Lagging,
        Self::All,
    ];

    /// Returns the offered work at a time as a share of the whole pool's capacity.
    pub(super) fn load(self, secs: f64) -> f64 {
        let in_burst = (BURST_AT..BURST_AT + BURST_SECS).contains(&secs);
        match self {
            Self::Burst if in_burst => 3.0,
            Self::Burst => 0.3,
            Self::Hot => 1.3,
            Self::Slow | Self::Silent => 0.85,
            Self::LongShort => 1.0,
            Self::Saturation => 1.5,
            Self::Lagging => 0.95,
            Self::All if in_burst => 5.0,
            Self::All => 1.3,
        }
    }

    /// Returns the most that [`Pattern::load`] reaches.
    pub(super) fn peak(self) -> f64 {
        self.load(0.0).max(self.load(BURST_AT))
    }

    /// Returns whether two accounts and one prefix take most of the load.
    pub(super) fn is_hot(self) -> bool {
        matches!(self, Self::Hot | Self::All)
    }

    /// Returns whether a share of the work is long.
    pub(super) fn has_long(self) -> bool {
        matches!(self, Self::LongShort | Self::All)
    }

    /// Returns a target's speed at a time, as a share of the nominal one.
    pub(super) fn faults(self, target: usize) -> Fault {
        let from = WARM_UP_SECS + MEASURE_SECS / 6.0;
        match (self, target) {
            (Self::Slow | Self::All, 0) => Fault { from, speed: 0.1 },
            (Self::Silent, 0) | (Self::All, 1) => Fault { from, speed: 0.0 },
            _ => Fault {
                from: f64::MAX,
                speed: 1.0,
            },
        }
    }

    /// Returns the delay of load reports, in seconds.
    pub(super) fn report_delay(self) -> f64 {
        if matches!(self, Self::Lagging | Self::All) {
            2.0
        } else {
            0.1
        }
    }

    /// Returns the share of load reports that is lost.
    pub(super) fn report_loss(self) -> f64 {
        if matches!(self, Self::Lagging | Self::All) {
            0.33
        } else {
            0.02
        }
    }
}

/// When and how far a target's speed changes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fault {
    /// Second from which it holds.
    pub(super) from: f64,
    /// Speed from then on, as a share of the nominal one.
    pub(super) speed: f64,
}
