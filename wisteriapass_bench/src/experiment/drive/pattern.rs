//! Patterns of load that are driven over the real path.

use derive_more::{Display, Error};
use serde::Serialize;

use super::{LONG_TOKENS, SHORT_TOKENS};

/// Share of the long calls in patterns that have them.
const LONG_SHARE: f64 = 0.1;

/// A pattern of load.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Pattern {
    /// Half of what the engines can do.
    #[display("steady")]
    Steady,
    /// A quarter of it, and four times it for a tenth of the run.
    #[display("burst")]
    Burst,
    /// Somewhat more than they can do, most of it from one account.
    #[display("hot")]
    Hot,
    /// Most of what they can do, with one engine ten times slower.
    #[display("slow")]
    Slow,
    /// Most of what they can do, long work among short.
    #[display("long-short")]
    LongShort,
    /// One and a half times what they can do.
    #[display("saturation")]
    Saturation,
}

/// No pattern has this name.
#[derive(Clone, Debug, Display, Error)]
#[display("no such pattern; use steady, burst, hot, slow, long-short or saturation")]
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

    /// Returns the offered work as a share of capacity when `share` of the run has passed.
    pub(super) fn offered_load(self, share: f64) -> f64 {
        match self {
            Self::Steady => 0.5,
            Self::Burst if (0.4..0.5).contains(&share) => 4.0,
            Self::Burst => 0.25,
            Self::Hot => 1.2,
            Self::Slow => 0.6,
            Self::LongShort => 0.8,
            Self::Saturation => 1.5,
        }
    }

    /// Returns the share of calls that the first account makes.
    pub(super) fn first_account_share(self) -> f64 {
        match self {
            Self::Hot => 0.8,
            _ => 0.25,
        }
    }

    /// Returns the share of calls whose answers are long.
    pub(super) fn long_answer_share(self) -> f64 {
        match self {
            Self::LongShort => LONG_SHARE,
            _ => 0.0,
        }
    }

    /// Returns the mean tokens of an answer.
    pub(super) fn mean_answer_tokens(self) -> f64 {
        let long = self.long_answer_share();
        f64::from(LONG_TOKENS) * long + f64::from(SHORT_TOKENS) * (1.0 - long)
    }
}
