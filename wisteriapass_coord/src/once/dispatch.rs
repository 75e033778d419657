//! Order to run a request, as far as running once depends on it.

use derive_more::{Display, Error};

use crate::Millis;
use crate::budget::{Origin, Payment};
use crate::once::{Attempt, RunId};

/// The facts of a dispatch that decide whether it may begin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunDispatch {
    /// Identity of the request.
    pub run: RunId,
    /// Digest of the request's content.
    pub fingerprint: String,
    /// Attempt at it.
    pub attempt: Attempt,
    /// Incarnation of the side process it is meant for; none for any.
    pub incarnation: Option<String>,
    /// It may not begin later.
    pub start_by: Millis,
    /// What pays for it; none if it costs nothing.
    pub payment: Option<Payment>,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
}

/// Why an order is refused; besides [`DispatchError::AlreadyRan`] nothing ran and nothing will.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum DispatchError {
    /// It came too late.
    #[display("the dispatch came after its deadline; send a new attempt")]
    DeadlinePassed,
    /// Its attempt was withdrawn.
    #[display("the attempt was withdrawn; send the next one")]
    Withdrawn,
    /// It is paid with money that was fenced.
    #[display("money of origin {origin} was fenced; pay with other money")]
    Fenced {
        /// The fenced origin.
        origin: Origin,
    },
    /// It is meant for another incarnation of this side process.
    #[display("the side process was replaced; look up its incarnation")]
    WrongIncarnation,
    /// It is not idempotent and ran before; its answer is no longer kept.
    #[display("the request ran before and its answer is gone; look at the target")]
    AlreadyRan,
    /// The identity belongs to another request.
    #[display("the idempotency key belongs to another request; use a new key")]
    KeyReused,
}
