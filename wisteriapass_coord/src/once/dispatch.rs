//! The parts of a dispatch that at-most-once execution depends on.

use derive_more::{Display, Error};

use crate::Millis;
use crate::budget::{Origin, Payment};
use crate::once::{Attempt, RunId};

/// The parts of a dispatch that decide whether its run may begin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunDispatch {
    /// Id of the request.
    pub run: RunId,
    /// Digest of the request's contents.
    pub fingerprint: String,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Incarnation of the side process that the dispatch is meant for; `None` for any.
    pub incarnation: Option<String>,
    /// Time after which the run may not begin.
    pub start_by: Millis,
    /// Payment for the run; `None` if it is free of charge.
    pub payment: Option<Payment>,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
}

/// Reason why a dispatch is refused.
///
/// Except for [`DispatchError::AlreadyRan`], nothing ran and nothing will run.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum DispatchError {
    /// The dispatch arrived after its deadline.
    #[display("the dispatch arrived after its deadline; send a new attempt")]
    DeadlinePassed,
    /// The attempt was withdrawn.
    #[display("the attempt was withdrawn; send the next one")]
    Withdrawn,
    /// The payment contains money of a fenced origin.
    #[display("the money of origin {origin} was fenced; pay with money of another origin")]
    Fenced {
        /// The fenced origin.
        origin: Origin,
    },
    /// The dispatch is meant for another incarnation of this side process.
    #[display(
        "the dispatch is for another incarnation of the side process; look up the current one"
    )]
    WrongIncarnation,
    /// The request is not idempotent and ran before, and its answer is no longer kept.
    #[display(
        "the request ran before and its answer is no longer kept; check its effect at the target"
    )]
    AlreadyRan,
    /// The idempotency key was used for a different request.
    #[display("the idempotency key was used for a different request; use a new key")]
    KeyReused,
}
