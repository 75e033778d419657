//! Whether a request is banned.

use super::DEATHS_TO_BAN;

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may; no deaths count against it.
    Clear,
    /// It may, although it was in flight at targets that died.
    Suspect {
        /// Number of deaths that count against it.
        deaths: usize,
    },
    /// It may not.
    Banned {
        /// Number of deaths that count against it.
        deaths: usize,
        /// When the ban ends, in milliseconds.
        until: u64,
    },
}

impl Verdict {
    /// Returns how many deaths count against the request.
    pub fn deaths(self) -> usize {
        match self {
            Self::Clear => 0,
            Self::Suspect { deaths } | Self::Banned { deaths, .. } => deaths,
        }
    }

    /// Returns whether one more death bans the request, so that it may only be sent as a trial.
    pub fn needs_trial(self) -> bool {
        match self {
            Self::Suspect { deaths } => deaths + 1 >= DEATHS_TO_BAN,
            Self::Clear | Self::Banned { .. } => false,
        }
    }

    /// Returns when the ban ends, in milliseconds, if there is one.
    pub fn banned_until(self) -> Option<u64> {
        match self {
            Self::Banned { until, .. } => Some(until),
            Self::Clear | Self::Suspect { .. } => None,
        }
    }
}
