//! Why a target of the service is no candidate for a request.

use derive_more::Display;

use crate::gateway::Exclusion;
use crate::prelude::*;

/// Why a target of the service is no candidate for a request. Later reasons are checked only if no
/// earlier one applies.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Ineligibility {
    /// The request was sent there, or it could not be reached.
    #[display("tried")]
    Tried,
    /// The route or the account does not permit its region.
    #[display("region")]
    Region,
    /// It gets no requests of this kind now.
    #[display("{_0}")]
    Excluded(Exclusion),
    /// The request would not end there before this router stops.
    #[display("stopping")]
    Stopping,
}

impl Ineligibility {
    /// Returns when the target may get requests again, if it is known.
    pub fn back_at(self) -> Option<Instant> {
        match self {
            Self::Excluded(Exclusion::Resting(until)) => Some(until),
            Self::Tried | Self::Region | Self::Excluded(_) | Self::Stopping => None,
        }
    }
}
