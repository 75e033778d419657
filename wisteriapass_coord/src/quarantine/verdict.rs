//! What is to be done with a request.

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may; nothing is known against it.
    Clear,
    /// It may; it was under way at targets that ended.
    Suspect {
        /// How many of them count.
        deaths: usize,
    },
    /// It may not.
    Banned {
        /// How many deaths count.
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

    /// Returns when the ban ends, in milliseconds, if there is one.
    pub fn banned_until(self) -> Option<u64> {
        match self {
            Self::Banned { until, .. } => Some(until),
            Self::Clear | Self::Suspect { .. } => None,
        }
    }
}
