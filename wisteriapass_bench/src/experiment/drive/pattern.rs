//! Load patterns that are run against real daemons.

use derive_more::{Display, Error};
use serde::Serialize;

use super::{LONG_TOKENS, SHORT_TOKENS};

/// Share of calls with a long answer in the patterns that have them.
const LONG_SHARE: f64 = 0.1;

/// Load pattern.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Pattern {
    /// Half of the capacity of the engines.
    #[display("steady")]
    Steady,
    /// A quarter of the capacity, with a burst to four times the capacity for a tenth of the run.
    #[display("burst")]
    Burst,
    /// Slightly more than the capacity, most of it from one account.
    #[display("hot")]
    Hot,
    /// 60% of the capacity, with one engine slowed down by a factor of ten.
    #[display("slow")]
    Slow,
    /// 80% of the capacity, with long answers mixed among short ones.
    #[display("long-short")]
    LongShort,
    /// One and a half times the capacity.
    #[display("saturation")]
    Saturation,
}

/// Error for an unknown pattern name.
#[derive(Clone, Debug, Display, Error)]
#[display("unknown pattern; expected steady, burst, hot, slow, long-short or saturation")]
pub struct UnknownPattern;

impl std::str::FromStr for Pattern {
    type Err = UnknownPattern;

    fn from_str(name: &str) -> Result<Self, UnknownPattern> {
        let known = Self::ALL.into_iter().find(|p| p.to_string() == name);
        known.ok_or(UnknownPattern)
    }
}

impl Pattern {
    /// All patterns.
    pub const ALL: [Self; 6] = [
        Self::Steady,
        Self::Burst,
        Self::Hot,
        Self::Slow,
        Self::LongShort,
        Self::Saturation,
    ];

    /// Returns the offered load relative to the capacity, after `elapsed_share` of the run.
    pub(super) fn offered_load(self, elapsed_share: f64) -> f64 {
        match self {
            Self::Steady => 0.5,
            Self::Burst if (0.4..0.5).contains(&elapsed_share) => 4.0,
            Self::Burst => 0.25,
            Self::Hot => 1.2,
            Self::Slow => 0.6,
            Self::LongShort => 0.8,
            Self::Saturation => 1.5,
        }
    }

    /// Returns the share of calls made by the first account.
    pub(super) fn first_account_share(self) -> f64 {
        match self {
            Self::Hot => 0.8,
            _ => 0.25,
        }
    }

    /// Returns the share of calls with a long answer.
    pub(super) fn long_answer_share(self) -> f64 {
        match self {
            Self::LongShort => LONG_SHARE,
            _ => 0.0,
        }
    }

    /// Returns the mean length of an answer, in tokens.
    pub(super) fn mean_answer_tokens(self) -> f64 {
        let long = self.long_answer_share();
        f64::from(LONG_TOKENS) * long + f64::from(SHORT_TOKENS) * (1.0 - long)
    }
}
