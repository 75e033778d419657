//! Load patterns and the size of the simulated pool.

use derive_more::{Display, Error};

use super::{MEASURE_SECS, WARM_UP_SECS};

/// Number of targets in the pool.
pub(super) const TARGETS: usize = 12;
/// Number of requests that a target runs concurrently.
pub(super) const SLOTS: u32 = 16;
/// Tokens per second that a target generates with all slots busy.
pub(super) const TOKENS_PER_S: u32 = 1_000;
/// Number of routers, which decide independently.
pub(super) const ROUTERS: usize = 10;

/// Start of a burst, in seconds.
const BURST_START_SECS: f64 = WARM_UP_SECS + 20.0;
/// Duration of a burst, in seconds.
const BURST_SECS: f64 = 5.0;

/// A pattern of load.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Pattern {
    /// Ten times the usual rate for five seconds.
    #[display("burst")]
    Burst,
    /// Two accounts and one prefix per kind of request make up most of the load.
    #[display("hot")]
    Hot,
    /// One target slows down to a tenth of its speed.
    #[display("slow")]
    Slow,
    /// One target accepts requests and never answers.
    #[display("silent")]
    Silent,
    /// Long requests among short ones.
    #[display("long-short")]
    LongShort,
    /// Constant load of one and a half times the capacity.
    #[display("saturation")]
    Saturation,
    /// Load reports are delayed by two seconds and a third of them is lost.
    #[display("lagging")]
    Lagging,
    /// All of the above at once.
    #[display("all")]
    All,
}

/// Error for a name that no pattern or policy has.
#[derive(Clone, Debug, Display, Error)]
#[display("unknown name; `loads --help` lists the valid names")]
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

    /// Returns the offered load at a time, relative to the capacity of the whole pool.
    pub(super) fn offered_load(self, secs: f64) -> f64 {
        let in_burst = (BURST_START_SECS..BURST_START_SECS + BURST_SECS).contains(&secs);
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

    /// Returns the maximum of [`Pattern::offered_load`].
    pub(super) fn peak_load(self) -> f64 {
        self.offered_load(0.0)
            .max(self.offered_load(BURST_START_SECS))
    }

    /// Returns whether two accounts and one prefix per kind of request make up most of the load.
    pub(super) fn is_hot(self) -> bool {
        matches!(self, Self::Hot | Self::All)
    }

    /// Returns whether some requests are long.
    pub(super) fn has_long_requests(self) -> bool {
        matches!(self, Self::LongShort | Self::All)
    }

    /// Returns the fault of a target; without one, its speed stays nominal.
    pub(super) fn fault(self, target: usize) -> Fault {
        let starts_at_secs = WARM_UP_SECS + MEASURE_SECS / 6.0;
        match (self, target) {
            (Self::Slow | Self::All, 0) => Fault {
                starts_at_secs,
                speed: 0.1,
            },
            (Self::Silent, 0) | (Self::All, 1) => Fault {
                starts_at_secs,
                speed: 0.0,
            },
            _ => Fault {
                starts_at_secs: f64::MAX,
                speed: 1.0,
            },
        }
    }

    /// Returns the delay of load reports, in seconds.
    pub(super) fn report_delay_secs(self) -> f64 {
        if matches!(self, Self::Lagging | Self::All) {
            2.0
        } else {
            0.1
        }
    }

    /// Returns the fraction of load reports that is lost.
    pub(super) fn report_loss(self) -> f64 {
        if matches!(self, Self::Lagging | Self::All) {
            0.33
        } else {
            0.02
        }
    }
}

/// A change of a target's speed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fault {
    /// Start of the fault, in seconds.
    pub(super) starts_at_secs: f64,
    /// Speed from then on, relative to the nominal speed.
    pub(super) speed: f64,
}
